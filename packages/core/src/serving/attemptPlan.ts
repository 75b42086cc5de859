/** Whether a request may be sent once more, and how it ended when it may not. */
import { type Ending } from "@rattanquay/schema";

/** How one send ended short of a good answer. */
export type SendFailure =
    /** No byte went out. */
    | "unreached"
    /** The upstream says that it did not run the request and never will. */
    | "rejected"
    /** The upstream ran it and answered with a failure. */
    | "failed"
    /** It may have run, and no whole answer came. */
    | "inDoubt";

/** The sends of one request so far. */
export type Sends = { readonly mayHaveRun: number; readonly turnedAway: number; readonly last?: SendFailure };

export const noSends: Sends = { mayHaveRun: 0, turnedAway: 0 };

export type SendRules = {
    /** Running it twice does no harm. */
    readonly isRepeatable: boolean;
    /** Upstreams that may run the request. */
    readonly maxAttempts: number;
};

/** Sends beyond those that may have run: each was turned away at once and cost the caller next to nothing. */
const maxTurnedAway = 3;

const hasRun: Readonly<Record<SendFailure, boolean>> = {
    unreached: false,
    rejected: false,
    failed: true,
    inDoubt: true,
};

export function afterSend({ mayHaveRun, turnedAway }: Sends, last: SendFailure): Sends {
    return hasRun[last]
        ? { mayHaveRun: mayHaveRun + 1, turnedAway, last }
        : { mayHaveRun, turnedAway: turnedAway + 1, last };
}

export function maySendAgain({ mayHaveRun, turnedAway }: Sends, { isRepeatable, maxAttempts }: SendRules): boolean {
    return (isRepeatable || mayHaveRun === 0) && mayHaveRun < maxAttempts && turnedAway <= maxTurnedAway;
}

/** "Not run" is only said when no send can have run. */
export function endingOfSends({ mayHaveRun }: Sends): Extract<Ending, "notRun" | "unknown"> {
    return mayHaveRun > 0 ? "unknown" : "notRun";
}

/** Whether the next send reaches a service that this request reached before, and so draws on the budget of repeats. */
export function isRepeat({ mayHaveRun, last }: Sends): boolean {
    return mayHaveRun > 0 || last === "rejected";
}
