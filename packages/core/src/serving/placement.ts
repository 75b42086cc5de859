/**
 * Chooses the upstream that a request is sent to.
 *
 * Many entry instances choose concurrently, and each learns of the others' requests only after a delay. The default
 * policy predicts the time to the first event for a small random sample of candidates, most of them of the own zone, and
 * takes the best, so that the instances do not all choose the same upstream.
 */

/** An upstream that can serve the request. */
export type PlacementCandidate = {
    readonly id: string;
    readonly slots: number;
    /** Estimated number of requests at the upstream, running and queued. */
    readonly load: number;
    /** Time for which long prompts there hold up a new request, in milliseconds. */
    readonly backlogMs?: number;
    readonly isLocal: boolean;
    /** Whether an idle keep-alive connection to it is available. */
    readonly isConnected: boolean;
    /** Whether it is suspected to be stalled or unreachable. */
    readonly isStalled: boolean;
    /** Expected round trip of the question that must be answered before a request may be sent to it. */
    readonly questionMs?: number;
};

export type PlacementInput = {
    readonly candidates: readonly PlacementCandidate[];
    readonly predict: (candidate: PlacementCandidate) => number;
    /** The cost of the delay that the request causes others, in milliseconds; absent for requests that cause none. */
    readonly delayCostMs?: (candidate: PlacementCandidate) => number;
    /** Returns random numbers in [0, 1). */
    readonly random: () => number;
};

export type Placement = { readonly id: string; readonly predictedMs: number };

/** Penalty for an upstream in another zone, beyond the network latency: traffic between zones is expensive. */
const remoteCostMs = 15;
/** Penalty for opening a connection, beyond the handshake latency: upstreams accept a limited number of connections. */
const connectionCostMs = 6;
/** Number of candidates that the default policy compares, and how many of them may be of the own zone. */
const sampleSize = 4;
const maxLocalSampleSize = 3;
/** The sample holds at most this share of the zone's candidates: instances that compare the same few choose alike. */
const maxLocalShare = 1 / 3;

const noCost = (): number => 0;

type Policy = (question: PlacementInput) => PlacementCandidate | undefined;

/** Policies for choosing an upstream, by name. The first is the default; the others are baselines. */
export const placementPolicies = {
    predictedFirstEvent: ({ candidates, predict, delayCostMs = noCost, random }) =>
        cheapest(
            sampleByZone(candidates, random),
            candidate => predict(candidate) + delayCostMs(candidate) + extraCostMs(candidate),
        ),
    uniformSample: ({ candidates, predict, random }) =>
        cheapest(
            sample(candidates, sampleSize, random),
            candidate => predict(candidate) + extraCostMs(candidate),
        ),
    powerOfTwo: ({ candidates, random }) => cheapest(sample(candidates, 2, random), ({ load, slots }) => load / slots),
    leastLoaded: ({ candidates }) => cheapest(candidates, ({ load, slots }) => load / slots),
    random: ({ candidates, random }) => sample(candidates, 1, random)[0],
} as const satisfies Record<string, Policy>;

export type PlacementPolicy = keyof typeof placementPolicies;

/** Chooses an upstream; stalled candidates are used only if there is no other. */
export function chooseUpstream(
    question: PlacementInput,
    policy: PlacementPolicy = "predictedFirstEvent",
): Placement | undefined {
    const responsive = question.candidates.filter(({ isStalled }) => !isStalled);
    const candidates = responsive.length > 0 ? responsive : question.candidates;
    const chosen = placementPolicies[policy]({ ...question, candidates });
    return chosen === undefined ? undefined : { id: chosen.id, predictedMs: question.predict(chosen) };
}

/** An upstream with the mean load of the candidates; undefined if there are none. */
export function meanCandidate(candidates: readonly PlacementCandidate[]): PlacementCandidate | undefined {
    const [first] = candidates;
    if (first === undefined) {
        return undefined;
    }
    let load = 0;
    let backlogMs = 0;
    for (const candidate of candidates) {
        load += candidate.load;
        backlogMs += candidate.backlogMs ?? 0;
    }
    return { ...first, load: load / candidates.length, backlogMs: backlogMs / candidates.length };
}

function extraCostMs({ isLocal, isConnected, questionMs = 0 }: PlacementCandidate): number {
    return (isLocal ? 0 : remoteCostMs) + (isConnected ? 0 : connectionCostMs) + questionMs;
}

function cheapest(
    candidates: readonly PlacementCandidate[],
    costOf: (candidate: PlacementCandidate) => number,
): PlacementCandidate | undefined {
    let found: { readonly candidate: PlacementCandidate; readonly cost: number } | undefined;
    for (const candidate of candidates) {
        const cost = costOf(candidate);
        if (found === undefined || cost < found.cost) {
            found = { candidate, cost };
        }
    }
    return found?.candidate;
}

/**
 * Mostly candidates of the own zone if it has many: traffic between zones is expensive, and an instance knows most about the load of
 * upstreams that its own zone uses. The others show whether another zone has room that this one lacks.
 */
function sampleByZone(candidates: readonly PlacementCandidate[], random: () => number): readonly PlacementCandidate[] {
    const local = candidates.filter(({ isLocal }) => isLocal);
    const remote = candidates.filter(({ isLocal }) => !isLocal);
    const preferredCount = Math.max(1, Math.min(maxLocalSampleSize, Math.floor(local.length * maxLocalShare)));
    const localCount = Math.max(preferredCount, sampleSize - remote.length);
    return [...sample(local, localCount, random), ...sample(remote, sampleSize - localCount, random)];
}

/** Takes a random sample of the candidates without replacement. */
function sample(candidates: readonly PlacementCandidate[], count: number, random: () => number): PlacementCandidate[] {
    const left = [...candidates];
    const chosen: PlacementCandidate[] = [];
    while (left.length > 0 && chosen.length < count) {
        chosen.push(...left.splice(Math.floor(random() * left.length), 1));
    }
    return chosen;
}
