/** Decides whether a request may be retried, and its outcome when it may not. */
import { type Ending } from "@rattanquay/schema";

/** Why one attempt did not produce a successful response. */
export type AttemptFailure =
    /** No byte of the request was sent. */
    | "unreached"
    /** The upstream reported that it did not execute the request and never will. */
    | "rejected"
    /** The upstream executed the request and returned a failure. */
    | "failed"
    /** The request may have been executed, but no complete response arrived. */
    | "inDoubt";

/** Counts of the attempts made so far for one request, and the last failure. */
export type AttemptCounts = {
    readonly mayHaveRun: number;
    readonly notExecuted: number;
    readonly last?: AttemptFailure;
};

export const noAttemptsYet: AttemptCounts = { mayHaveRun: 0, notExecuted: 0 };

export type RetryRules = {
    /** Whether the request can safely be executed more than once. */
    readonly isRepeatable: boolean;
    /** Maximum number of attempts that may have executed the request. */
    readonly maxAttempts: number;
};

/** Limit on attempts that were certainly not executed: each fails at once and adds almost no latency for the caller. */
const maxNotExecuted = 3;

const mayHaveExecuted: Readonly<Record<AttemptFailure, boolean>> = {
    unreached: false,
    rejected: false,
    failed: true,
    inDoubt: true,
};

export function countAttempt(
    { mayHaveRun, notExecuted: turnedAway }: AttemptCounts,
    last: AttemptFailure,
): AttemptCounts {
    return mayHaveExecuted[last]
        ? { mayHaveRun: mayHaveRun + 1, notExecuted: turnedAway, last }
        : { mayHaveRun, notExecuted: turnedAway + 1, last };
}

export function mayRetryRequest(
    { mayHaveRun, notExecuted: turnedAway }: AttemptCounts,
    { isRepeatable, maxAttempts }: RetryRules,
): boolean {
    return (isRepeatable || mayHaveRun === 0) && mayHaveRun < maxAttempts && turnedAway <= maxNotExecuted;
}

/** Returns "notRun" only if no attempt can have been executed. */
export function endingOfAttempts({ mayHaveRun }: AttemptCounts): Extract<Ending, "notRun" | "unknown"> {
    return mayHaveRun > 0 ? "unknown" : "notRun";
}

/** Whether the next attempt goes to a service that an earlier one reached, and so consumes the retry budget. */
export function consumesRetryBudget({ mayHaveRun, last }: AttemptCounts): boolean {
    return mayHaveRun > 0 || last === "rejected";
}
