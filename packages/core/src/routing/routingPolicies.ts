/** How a replica is chosen; a policy by name. */

/** A replica that may be given work. */
export type Replica = {
    readonly replica: string;
    /** `host:port` of the member that takes requests. */
    readonly address: string;
    readonly availabilityZone: string;
    readonly fence: number;
    readonly concurrency: number;
    /** The declared time between tokens; without it the concurrency stays as declared. */
    readonly betweenTokensMs?: number;
    /** Load as last published, with its age. */
    readonly reported?: { readonly running: number; readonly waiting: number; readonly ageMs: number };
};

/** A replica with what this process knows of it by itself. */
export type ReplicaState = Replica & {
    readonly inFlight: number;
    /** Load of all processes as estimated now, as a part of what the replica takes. */
    readonly load: number;
};

export type RoutingPolicy = (candidates: readonly ReplicaState[], random: () => number, turn: number) => ReplicaState;

const pick = (candidates: readonly ReplicaState[], random: () => number): ReplicaState =>
    candidates[Math.floor(random() * candidates.length)]!;

const reportedLoad = (state: ReplicaState): number => (state.reported?.running ?? 0) + (state.reported?.waiting ?? 0);

/** `candidates` is never empty. `random` yields numbers in [0, 1). */
export const routingPolicies = {
    /** The less loaded of two drawn at random (Mitzenmacher, "The power of two choices in randomized load balancing"). */
    twoChoices: (candidates, random) => {
        const first = pick(candidates, random);
        const others = candidates.filter(candidate => candidate !== first);
        const second = others.length === 0 ? first : pick(others, random);
        return second.load < first.load ? second : first;
    },
    random: (candidates, random) => pick(candidates, random),
    roundRobin: (candidates, random, turn) => candidates[turn % candidates.length]!,
    leastReported: candidates =>
        candidates.reduce((best, state) => reportedLoad(state) < reportedLoad(best) ? state : best),
} satisfies Record<string, RoutingPolicy>;

/** Chooses by the named policy, or nothing when there is no candidate. */
export function chooseReplica(
    policy: keyof typeof routingPolicies,
    candidates: readonly ReplicaState[],
    random: () => number,
    turn: number,
): ReplicaState | undefined {
    return candidates.length === 0 ? undefined : routingPolicies[policy](candidates, random, turn);
}
