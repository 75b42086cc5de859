/** Estimates by Little's law, from the mean holding time of ended requests, how soon a queued request can start. */

export type WaitEstimator = {
    /** Records the holding time of an ended request. */
    readonly observe: (holdingMs: number) => void;
    /** Mean time from start to end of a request; `undefined` until one has ended. */
    readonly holdingMs: () => number | undefined;
    /** Estimated time until `ahead` requests and one more have started, with `places` in use; 0 without samples. */
    readonly waitMs: (ahead: number, places: number) => number;
};

/** The weight of a new sample in the moving average. */
const gain = 0.05;

export function makeWaitEstimator(): WaitEstimator {
    let meanMs: number | undefined;
    return {
        observe: holdingMs => {
            meanMs = meanMs === undefined ? holdingMs : meanMs + gain * (holdingMs - meanMs);
        },
        holdingMs: () => meanMs,
        waitMs: (ahead, places) => meanMs === undefined ? 0 : (ahead + 1) * meanMs / Math.max(1, places),
    };
}
