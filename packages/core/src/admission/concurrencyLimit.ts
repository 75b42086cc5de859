/**
 * Estimates how many requests a replica can run at once while its time between tokens stays below the target.
 *
 * The step time of a batching engine is a base time plus a time per sequence. A linear regression of the time between
 * tokens on the number of concurrent requests, over ended attempts, therefore predicts the limit before that load was
 * reached. Pairing both values per attempt removes the lag between a change of the limit and its effect.
 */

export type ConcurrencyLimit = {
    readonly limit: () => number;
    /** Records an ended attempt: how many requests ran concurrently, and its mean time between tokens. */
    readonly observe: (running: number, betweenTokensMs: number) => void;
};

type Options = {
    /** The declared concurrency: an upper bound, and the limit until there are enough samples. */
    readonly declared: number;
    readonly targetMs: number;
};

const minLimit = 4;
/** Part of the target that the limit is computed for. */
const targetFraction = 0.95;
/** The slope is a property of the engine and averaged over a long time; the operating point changes faster. */
const slopeGain = 0.005;
const positionGain = 0.05;
const minSamples = 20;
const minVariance = 0.5;

export function makeConcurrencyLimit({ declared, targetMs }: Options): ConcurrencyLimit {
    const goalMs = targetMs * targetFraction;
    const lowestLimit = Math.min(minLimit, declared);
    const slope = makeRegressionSlope();
    let meanRunning = 0;
    let meanBetweenTokensMs = 0;
    let samples = 0;
    let limit = declared;

    const estimateLimit = (): number => {
        const proportional = meanRunning * goalMs / meanBetweenTokensMs;
        const msPerSequence = slope.estimate();
        if (msPerSequence === undefined) {
            return meanBetweenTokensMs > goalMs ? proportional : declared;
        }
        const boundedSlopeMs = Math.min(msPerSequence, meanBetweenTokensMs / meanRunning);
        return Math.max(
            meanRunning + (goalMs - meanBetweenTokensMs) / boundedSlopeMs,
            meanBetweenTokensMs < goalMs ? proportional : 0,
        );
    };

    return {
        limit: () => limit,
        observe: (runningBeside, betweenTokensMs) => {
            samples++;
            const gain = Math.max(positionGain, 1 / samples);
            meanRunning += gain * (Math.max(1, runningBeside) - meanRunning);
            meanBetweenTokensMs += gain * (betweenTokensMs - meanBetweenTokensMs);
            slope.observe(runningBeside, betweenTokensMs);
            if (samples >= minSamples) {
                limit = Math.max(lowestLimit, Math.min(declared, estimateLimit()));
            }
        },
    };
}

/** The slope of a linear regression in which later samples weigh more. */
function makeRegressionSlope() {
    let samples = 0;
    let meanX = 0;
    let meanY = 0;
    let variance = 0;
    let covariance = 0;
    return {
        observe: (x: number, y: number): void => {
            samples++;
            const gain = Math.max(slopeGain, 1 / samples);
            const dx = x - meanX;
            const dy = y - meanY;
            meanX += gain * dx;
            meanY += gain * dy;
            variance = (1 - gain) * (variance + gain * dx * dx);
            covariance = (1 - gain) * (covariance + gain * dx * dy);
        },
        /** `undefined` while there are too few samples, they vary too little, or the slope is not positive. */
        estimate: (): number | undefined =>
            samples >= minSamples && variance >= minVariance && covariance > 0 ? covariance / variance : undefined,
    };
}
