/**
 * Learns the error of predicted times to the first event from observed times, and corrects later predictions.
 *
 * Predictions leave out whatever an engine does not publish. The median error is tracked in steps of limited size
 * (Robbins and Monro's stochastic approximation), so a request that hit a dead engine changes it no more than any
 * other. The error grows with the load, so it is tracked separately for each range of predictions.
 */
export type PredictionBias = {
    /** Records that a request's first event arrived after `actualMs`. */
    readonly observe: (predictedMs: number, actualMs: number) => void;
    readonly correct: (predictedMs: number) => number;
};

/** Upper bounds, in milliseconds, of the prediction ranges whose errors are tracked separately. */
const bucketEndsMs = [60, 120, 240, 480, 960, Infinity] as const;
/** Maximum change of a range's error by one request: the error follows a load change within a few requests. */
const maxStepMs = 12;

export function makePredictionBias(): PredictionBias {
    const errors: (number | undefined)[] = bucketEndsMs.map(() => undefined);
    const bucketOf = (predictedMs: number): number => bucketEndsMs.findIndex(end => predictedMs < end);
    /** The error of the prediction's own range, or of the nearest lower range that has one. */
    const estimatedErrorMs = (predictedMs: number): number =>
        errors.slice(0, bucketOf(predictedMs) + 1).findLast(error => error !== undefined) ?? 0;
    return {
        observe: (predictedMs, actualMs) => {
            const before = estimatedErrorMs(predictedMs);
            const errorMs = actualMs - predictedMs;
            const changeMs = Math.max(-maxStepMs, Math.min(maxStepMs, errorMs - before));
            errors[bucketOf(predictedMs)] = before + changeMs;
        },
        correct: predictedMs => Math.max(0, predictedMs + estimatedErrorMs(predictedMs)),
    };
}

/** One bias for each kind of request, by name. */
export type PredictionBiases = { readonly of: (name: string) => PredictionBias };

export function makePredictionBiases(): PredictionBiases {
    const biases = new Map<string, PredictionBias>();
    return {
        of: name => {
            const known = biases.get(name) ?? makePredictionBias();
            biases.set(name, known);
            return known;
        },
    };
}
