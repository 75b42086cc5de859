/** Limits retries to a share of first attempts, so that retries do not multiply the load during an outage. */
export type RetryBudget = {
    readonly noteFirstAttempt: () => void;
    /** Takes one retry from the budget and returns whether there was one. */
    readonly trySpend: () => boolean;
};

/** Retries that a process may make before its first attempts have added to the budget. */
const initialRetries = 5;
const maxRetries = 100;

/** Makes a budget that grows by `share` with each first attempt. */
export function makeRetryBudget(share: number): RetryBudget {
    let availableRetries = initialRetries;
    return {
        noteFirstAttempt: () => {
            availableRetries = Math.min(maxRetries, availableRetries + share);
        },
        trySpend: () => {
            if (availableRetries < 1) {
                return false;
            }
            availableRetries -= 1;
            return true;
        },
    };
}
