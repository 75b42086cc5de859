/** The policies, by name, that choose a replica for a request. */

/** A replica that can be given requests. */
export type Replica = {
    readonly replica: string;
    /** `host:port` of the member that takes requests. */
    readonly address: string;
    readonly availabilityZone: string;
    readonly fence: number;
    readonly concurrency: number;
    /** The declared target for the time between tokens; without it the concurrency limit is not adapted. */
    readonly betweenTokensMs?: number;
    /** The last published load report and its age. */
    readonly reported?: { readonly running: number; readonly waiting: number; readonly ageMs: number };
};

/** A replica with its load as estimated by this process. */
export type ReplicaState = Replica & {
    /** Requests of this process that run on the replica. */
    readonly inFlight: number;
    /** Load to compare replicas by, in proportion to the replica's limit. */
    readonly load: number;
};

export type RoutingPolicy = (
    candidates: readonly ReplicaState[],
    random: () => number,
    requestIndex: number,
) => ReplicaState;

const pick = (candidates: readonly ReplicaState[], random: () => number): ReplicaState =>
    candidates[Math.floor(random() * candidates.length)]!;

const reportedLoad = (state: ReplicaState): number => (state.reported?.running ?? 0) + (state.reported?.waiting ?? 0);

/** `candidates` is never empty. `random` yields numbers in [0, 1). */
export const routingPolicies = {
    /** The less loaded of two at random (Mitzenmacher, "The power of two choices in randomized load balancing"). */
    twoChoices: (candidates, random) => {
        const first = pick(candidates, random);
        const others = candidates.filter(candidate => candidate !== first);
        const second = others.length === 0 ? first : pick(others, random);
        return second.load < first.load ? second : first;
    },
    random: (candidates, random) => pick(candidates, random),
    roundRobin: (candidates, random, requestIndex) => candidates[requestIndex % candidates.length]!,
    leastReported: candidates =>
        candidates.reduce((best, state) => reportedLoad(state) < reportedLoad(best) ? state : best),
} satisfies Record<string, RoutingPolicy>;

/** Chooses a replica by the named policy; `undefined` when there are no candidates. */
export function chooseReplica(
    policy: keyof typeof routingPolicies,
    candidates: readonly ReplicaState[],
    random: () => number,
    requestIndex: number,
): ReplicaState | undefined {
    return candidates.length === 0 ? undefined : routingPolicies[policy](candidates, random, requestIndex);
}
