/** How many serving groups of an old version, adapter or shape may go now; a policy by name. */

/** One service in one zone, in the middle of a change. */
export type Change = {
    readonly wanted: number;
    readonly floor: number;
    /** Serving groups, of the old and of the new kind. */
    readonly serving: number;
    /** Groups of the new kind that do not serve yet. */
    readonly loading: number;
    /** Groups on their way out, whose instances come free. */
    readonly draining: number;
    /** Whether free instances are about to become groups of the new kind. */
    readonly forming: boolean;
};

export type Rollout = (change: Change) => number;

/** Share of the declared replicas that a change without free instances takes out at once. */
const stepShare = 0.1;

export const rollouts = {
    /**
     * Old groups go once new ones serve in their place. Without free instances a tenth goes at a time, never below the
     * floor; new groups that do not come up hold the change where it is.
     */
    surgeFirst: ({ wanted, floor, serving, loading, draining, forming }) => {
        if (serving > wanted) {
            return serving - wanted;
        }
        if (loading > 0 || draining > 0 || forming) {
            return 0;
        }
        const missing = wanted - serving;
        const step = Math.max(1, Math.floor(wanted * stepShare)) - missing;
        return Math.max(0, Math.min(step, serving - floor));
    },
    /** Everything down to the floor at once, the baseline. */
    toFloor: ({ floor, serving }) => Math.max(0, serving - floor),
} satisfies Record<string, Rollout>;
