/**
 * Estimates the length of an answer from earlier answers to the same kind of call in the same workspace.
 *
 * Only the engine knows the true length. The estimate only decides the work class, so an error costs little: a stream
 * that exceeds the length of its class is counted as long from then on.
 */

/** The properties of a call that are known before it runs. */
export type LengthHint = { readonly workspace: string; readonly kind: string; readonly maxTokens: number };

export type LengthEstimator = {
    /** Expected answer length in tokens. */
    readonly estimate: (hint: LengthHint) => number;
    /** Records the length of an answer. */
    readonly observe: (hint: LengthHint, tokens: number) => void;
    /** The number of stored estimates, which is bounded to limit memory. */
    readonly size: () => number;
};

type Estimate = { readonly meanTokens: number; readonly samples: number };

const maxKeys = 2_048;
/** The weight of a new answer never falls below this, so that an estimate follows a change within about ten answers. */
const minWeight = 0.15;
/** Part of its token limit that an answer is expected to use when there is no estimate for its kind. */
const defaultShare = 0.5;

/** Makes estimates that keep the keys with the most recent answers. */
export function makeLengthEstimator(): LengthEstimator {
    const estimates = new Map<string, Estimate>();
    const keyOf = ({ workspace, kind }: LengthHint): string => `${workspace}\n${kind}`;

    return {
        estimate: hint => {
            const known = estimates.get(keyOf(hint));
            return Math.min(hint.maxTokens, known?.meanTokens ?? hint.maxTokens * defaultShare);
        },
        observe: (hint, tokens) => {
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
