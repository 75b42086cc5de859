/** Named policies for how many serving groups of an old version, adapter or size may be drained now. */

/** The state of one service's rollout in one zone. */
export type RolloutState = {
    readonly wanted: number;
    readonly floor: number;
    /** Number of serving groups, old and new. */
    readonly serving: number;
    /** Number of new groups that do not serve yet. */
    readonly loading: number;
    /** Number of draining groups, whose instances will become free. */
    readonly draining: number;
    /** Whether new groups are being formed, or can be as soon as unowned instances are free. */
    readonly forming: boolean;
};

export type RolloutPolicy = (change: RolloutState) => number;

/** Share of the declared replicas that a rollout without free instances drains at a time. */
const stepShare = 0.1;

export const rolloutPolicies = {
    /**
     * Drains old groups once new ones serve in their place. Without free instances, a tenth is drained at a time, never
     * below the floor. New groups that do not start to serve pause the rollout.
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
    /** Drains all groups down to the floor at once; the baseline policy. */
    toFloor: ({ floor, serving }) => Math.max(0, serving - floor),
} satisfies Record<string, RolloutPolicy>;
