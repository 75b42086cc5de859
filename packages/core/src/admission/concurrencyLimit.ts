/**
 * How many requests a replica may run at once while the time between its tokens stays under the target.
 *
 * A batching engine's step takes a base time and some more for each sequence, so the limit that an attempt's own
 * concurrency and time between tokens give in proportion is never above the true one, and each further attempt
 * comes closer to it from below. Pairing the two removes the lag between a change of the limit and its effect.
 */

export type ConcurrencyLimit = {
    readonly limit: () => number;
    /** Takes in an ended attempt: how many ran beside it, and its mean time between tokens. */
    readonly observe: (running: number, betweenTokensMs: number) => void;
};

type Options = {
    /** The declared concurrency: never exceeded. */
    readonly declared: number;
    readonly targetMs: number;
};

const initialLimit = 16;
const smallestLimit = 4;
/** Part of the target that the limit aims at. */
const aimedShare = 0.95;
const gain = 0.15;
/** Below this share of the limit an attempt says nothing about whether the limit is too high. */
const tellingShare = 0.6;

export function makeConcurrencyLimit({ declared, targetMs }: Options): ConcurrencyLimit {
    const lowest = Math.min(smallestLimit, declared);
    let limit = Math.min(initialLimit, declared);
    return {
        limit: () => limit,
        observe: (running, betweenTokensMs) => {
            const fitting = running * targetMs * aimedShare / betweenTokensMs;
            if (fitting < limit && running < limit * tellingShare) {
                return;
            }
            limit = Math.max(
                lowest,
                Math.min(declared, limit + gain * (fitting - limit)),
            );
        },
    };
}
