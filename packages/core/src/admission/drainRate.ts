/** How soon a waiting request can start, by Little's law over what running work has lately held its place for. */

export type DrainRate = {
    readonly learnHold: (holdMs: number) => void;
    /** Mean time that work holds its place; `undefined` until some has ended. */
    readonly holdMs: () => number | undefined;
    /** Time until `ahead` requests and then one more have started, when `places` are in use. */
    readonly waitMs: (ahead: number, places: number) => number;
};

const gain = 0.05;

export function makeDrainRate(): DrainRate {
    let meanMs: number | undefined;
    return {
        learnHold: holdMs => {
            meanMs = meanMs === undefined ? holdMs : meanMs + gain * (holdMs - meanMs);
        },
        holdMs: () => meanMs,
        waitMs: (ahead, places) => meanMs === undefined ? 0 : (ahead + 1) * meanMs / Math.max(1, places),
    };
}
