/**
 * Decides when a planning pass is due: at once when its input has changed or the previous pass planned anything, and
 * otherwise seldom, because a pass over a large fleet is expensive and only the time has moved on.
 */
export type PlanTrigger = {
    /** Compares the parts of the input with those of the previous pass, by identity. True if a pass is due now. */
    readonly isDue: (input: readonly unknown[]) => boolean;
    /** Makes the next pass due at once. */
    readonly reset: () => void;
};

/** Timeouts of the planner are several times longer. */
const idlePassEveryMs = 240;

export function makePlanTrigger(nowMs: () => number): PlanTrigger {
    let previous: readonly unknown[] | undefined;
    let passedAtMs = -Infinity;
    const isSame = (input: readonly unknown[]): boolean =>
        input.length === previous?.length && input.every((part, index) => part === previous![index]);
    return {
        isDue: input => {
            if (isSame(input) && nowMs() - passedAtMs < idlePassEveryMs) {
                return false;
            }
            previous = input;
            passedAtMs = nowMs();
            return true;
        },
        reset: () => {
            previous = undefined;
        },
    };
}
