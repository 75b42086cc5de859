/** A budget of repeats as a share of first attempts, so that an outage is not multiplied. */
export type RetryBudget = {
    readonly noteFirstAttempt: () => void;
    /** Whether one repeat is granted; a granted repeat is spent. */
    readonly spend: () => boolean;
};

/** Repeats that a quiet process may make before any first attempt has paid for them. */
const reserve = 5;
const maxSaved = 100;

/** Makes a budget that grows by `share` with each first attempt. */
export function makeRetryBudget(share: number): RetryBudget {
    let saved = reserve;
    return {
        noteFirstAttempt: () => {
            saved = Math.min(maxSaved, saved + share);
        },
        spend: () => {
            if (saved < 1) {
                return false;
            }
            saved -= 1;
            return true;
        },
    };
}
