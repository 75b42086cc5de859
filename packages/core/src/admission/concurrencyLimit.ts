/**
 * How many requests a replica may run at once while the time between its tokens stays under the target.
 *
 * A batching engine's step takes a base time and some more for each sequence, so a line through what ended attempts
 * show (how many ran beside them, and their time between tokens) says where the target is met, before the replicas
 * were ever that full. Pairing the two removes the lag between a change of the limit and its effect.
 */

export type ConcurrencyLimit = {
    readonly limit: () => number;
    /** Takes in an ended attempt: how many ran beside it, and its mean time between tokens. */
    readonly observe: (running: number, betweenTokensMs: number) => void;
};

type Options = {
    /** The declared concurrency: never exceeded, and in force until enough is known. */
    readonly declared: number;
    readonly targetMs: number;
};

const smallestLimit = 4;
/** Part of the target that the limit aims at. */
const aimedShare = 0.95;
/** The slope of the line is a property of the engine and learnt slowly; where on it the replicas are is not. */
const slopeGain = 0.005;
const positionGain = 0.05;
const leastSamples = 20;
const leastVariance = 0.5;

export function makeConcurrencyLimit({ declared, targetMs }: Options): ConcurrencyLimit {
    const aimMs = targetMs * aimedShare;
    const lowest = Math.min(smallestLimit, declared);
    const slope = makeSlope();
    let running = 0;
    let betweenMs = 0;
    let samples = 0;
    let limit = declared;

    const fitting = (): number => {
        const proportional = running * aimMs / betweenMs;
        const msPerSequence = slope.estimate();
        if (msPerSequence === undefined) {
            return betweenMs > aimMs ? proportional : declared;
        }
        const bounded = Math.min(msPerSequence, betweenMs / running);
        return Math.max(running + (aimMs - betweenMs) / bounded, betweenMs < aimMs ? proportional : 0);
    };

    return {
        limit: () => limit,
        observe: (runningBeside, attemptMs) => {
            samples++;
            const gain = Math.max(positionGain, 1 / samples);
            running += gain * (Math.max(1, runningBeside) - running);
            betweenMs += gain * (attemptMs - betweenMs);
            slope.observe(runningBeside, attemptMs);
            if (samples >= leastSamples) {
                limit = Math.max(lowest, Math.min(declared, fitting()));
            }
        },
    };
}

/** The slope of a line through samples, of which later ones count more. */
function makeSlope() {
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
        /** `undefined` while the samples are too few or too alike. */
        estimate: (): number | undefined =>
            samples >= leastSamples && variance >= leastVariance && covariance > 0 ? covariance / variance : undefined,
    };
}
