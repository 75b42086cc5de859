/**
 * How long an answer is likely to be, learnt from the answers that the same workspace got for the same kind of call.
 *
 * The true length is known to the engine alone. An estimate only orders and places work, so a wrong one costs little:
 * a stream that outgrows its class is counted as long from then on.
 */

/** What a call shows of itself before it runs. */
export type LengthHint = { readonly workspace: string; readonly kind: string; readonly maxTokens: number };

export type LengthEstimates = {
    /** Expected answer length in tokens. */
    readonly expect: (hint: LengthHint) => number;
    readonly learn: (hint: LengthHint, tokens: number) => void;
    /** Keys held, for the bound on memory. */
    readonly size: () => number;
};

type Estimate = { readonly meanTokens: number; readonly samples: number };

const maxKeys = 2_048;
/** The weight of a new answer never falls below this, so that an estimate follows a change within some ten answers. */
const minWeight = 0.15;
/** Share of its token limit that an answer of an unknown kind is expected to use. */
const unknownShare = 0.5;

/** Estimates that keep the most recently used keys. */
export function makeLengthEstimates(): LengthEstimates {
    const estimates = new Map<string, Estimate>();
    const keyOf = ({ workspace, kind }: LengthHint): string => `${workspace}\n${kind}`;

    return {
        expect: hint => {
            const known = estimates.get(keyOf(hint));
            return Math.min(hint.maxTokens, known?.meanTokens ?? hint.maxTokens * unknownShare);
        },
        learn: (hint, tokens) => {
            const key = keyOf(hint);
            const { meanTokens, samples } = estimates.get(key) ?? { meanTokens: tokens, samples: 0 };
            const weight = Math.max(minWeight, 1 / (samples + 1));
            estimates.delete(key);
            estimates.set(key, { meanTokens: meanTokens + weight * (tokens - meanTokens), samples: samples + 1 });
            if (estimates.size > maxKeys) {
                estimates.delete(estimates.keys().next().value!);
            }
        },
        size: () => estimates.size,
    };
}
