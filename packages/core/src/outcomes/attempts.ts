/** The combined outcome of several attempts at one request, and whether another attempt may be made. */
import { type Ending } from "@rattanquay/schema";

/** How one attempt ended. */
export type AttemptOutcome =
    | "answered"
    /** No byte reached the upstream, or it proved that it did not run the request. */
    | "unreached"
    /** The request may have run, but no complete answer arrived. */
    | "inDoubt";

export type Attempts = { readonly count: number; readonly mayHaveRun: boolean };

export const noAttempts: Attempts = { count: 0, mayHaveRun: false };

type Rules = { readonly isRepeatable: boolean; readonly maxAttempts: number };

/** Adds one attempt. */
export function recordAttempt({ count, mayHaveRun }: Attempts, end: AttemptOutcome): Attempts {
    return { count: count + 1, mayHaveRun: mayHaveRun || end !== "unreached" };
}

/** Whether another attempt may be made, provided that the retry budget and available replicas allow it. */
export function mayRetryCall({ count, mayHaveRun }: Attempts, last: AttemptOutcome, rules: Rules): boolean {
    return last !== "answered" && count < rules.maxAttempts && (rules.isRepeatable || !mayHaveRun);
}

/**
 * How the request ended when no further attempt is made. Once an attempt may have run, only an answer settles the outcome:
 * a later attempt that reached no upstream does not make the request "not run".
 */
export function endingOf({ mayHaveRun }: Attempts, last: AttemptOutcome | undefined): Ending {
    if (last === "answered") {
        return "answered";
    }
    return mayHaveRun ? "unknown" : "notRun";
}
