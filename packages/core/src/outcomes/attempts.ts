/** What a row of attempts at one request amounts to, and whether another may be made. */
import { type Ending } from "@rattanquay/schema";

/** How one attempt ended. */
export type AttemptEnd =
    | "answered"
    /** No byte reached the upstream, or it proved that it did not run the request. */
    | "unreached"
    /** The request may have run, and no whole answer came. */
    | "inDoubt";

export type Attempts = { readonly count: number; readonly mayHaveRun: boolean };

export const noAttempts: Attempts = { count: 0, mayHaveRun: false };

type Rules = { readonly isRepeatable: boolean; readonly maxAttempts: number };

/** The attempts with one more. */
export function afterAttempt({ count, mayHaveRun }: Attempts, end: AttemptEnd): Attempts {
    return { count: count + 1, mayHaveRun: mayHaveRun || end !== "unreached" };
}

/** Whether another attempt may be made, budget and replicas granted. */
export function mayTryAgain({ count, mayHaveRun }: Attempts, last: AttemptEnd, rules: Rules): boolean {
    return last !== "answered" && count < rules.maxAttempts && (rules.isRepeatable || !mayHaveRun);
}

/**
 * How the request ended when no further attempt is made. Once an attempt may have run, only an answer makes that good: a
 * later attempt that reached nobody does not make the request "not run".
 */
export function endingOf({ mayHaveRun }: Attempts, last: AttemptEnd | undefined): Ending {
    if (last === "answered") {
        return "answered";
    }
    return mayHaveRun ? "unknown" : "notRun";
}
