/** The replicas of one service: the load of each, how many more requests it may get, and which are ejected. */
import { type ConcurrencyLimit, makeConcurrencyLimit, placeBudget } from "../admission";
import { makeLoadEstimator } from "./loadEstimator";
import { makeOutlierDetector } from "./outlierDetector";
import { makeReplicaLoad, type ReplicaLoad } from "./replicaLoad";
import { type Replica, type ReplicaState } from "./routingPolicies";

/** The outcome of an attempt, as input for the limits and the outlier detection of its replica. */
export type AttemptFeedback =
    | {
        readonly kind: "answered";
        readonly firstTokenMs: number;
        /** Missing when the answer had fewer than two tokens. */
        readonly betweenTokensMs?: number;
    }
    | { readonly kind: "failed" };

export type ReplicaPool = {
    readonly setReplicas: (replicas: readonly Replica[], nowMs: number) => void;
    readonly replicas: () => readonly Replica[];
    /** The replicas that can take another request now. */
    readonly candidates: (nowMs: number) => readonly ReplicaState[];
    /** How many requests this process may run at once on all replicas. */
    readonly places: (nowMs: number) => number;
    /** How many requests all processes together may run at once on all replicas. */
    readonly limit: () => number;
    /** Counts a started request and returns the estimated number of requests on the replica, this one included. */
    readonly start: (replica: string, nowMs: number) => number;
    readonly end: (
        replica: string,
        runningAtStart: number,
        nowMs: number,
        feedback: AttemptFeedback | undefined,
    ) => void;
    readonly inFlightOf: (replica: string) => number;
};

export type PoolOptions = {
    /** Whether limits adapt and are split among processes and outliers are ejected; if not, declared limits apply. */
    readonly adaptive: boolean;
    readonly peers: () => number;
    /** Mean holding time of the running requests; a load report is outdated after about this time. */
    readonly holdingMs: () => number;
};

export function makeReplicaPool(options: PoolOptions): ReplicaPool {
    const loads = new Map<string, ReplicaLoad>();
    const outlierDetector = makeOutlierDetector();
    const loadOf = (replica: Replica): ReplicaLoad => loads.get(replica.replica)!;
    const loadEstimator = makeLoadEstimator({ ...options, loads: () => replicas.map(loadOf) });
    let replicas: readonly Replica[] = [];
    let declared: Replica | undefined;
    let concurrencyLimit: ConcurrencyLimit | undefined;

    /** The replicas of a service are identical, so one limit, estimated from all their answers, applies to each. */
    const limitOf = (replica: Replica): number =>
        options.adaptive
            ? Math.min(replica.concurrency, concurrencyLimit?.limit() ?? replica.concurrency)
            : replica.concurrency;

    const limitOfAll = (): number => replicas.reduce((sum, replica) => sum + limitOf(replica), 0);

    const places = (nowMs: number): number => {
        const healthy = replicas.filter(({ replica }) => outlierDetector.standing(replica, nowMs) === "available");
        const budgetParts = (options.adaptive ? healthy : replicas).map(replica => {
            return { limit: limitOf(replica), recent: loadOf(replica).recent(nowMs) };
        });
        return options.adaptive
            ? placeBudget(budgetParts, options.peers())
            : budgetParts.reduce((sum, { limit }) => sum + limit, 0);
    };

    /** This process's limit on one replica: its proportional part of the places, plus one so that all can be used. */
    const ownLimitOf = (replica: Replica, placesShare: number, nowMs: number): number => {
        const limit = limitOf(replica);
        const limitByStanding = {
            available: () => Math.min(limit, Math.ceil(limit * placesShare) + 1),
            probation: () => 1,
            ejected: () => 0,
        };
        return options.adaptive ? limitByStanding[outlierDetector.standing(replica.replica, nowMs)]() : limit;
    };

    return {
        setReplicas: (next, nowMs) => {
            replicas = next;
            // Estimates made under a different declared concurrency or target do not apply to the new one.
            if (next[0] !== undefined && !hasSameDeclaration(next[0], declared)) {
                declared = next[0];
                concurrencyLimit = makeLimitFor(next[0]);
            }
            for (const replica of next) {
                const load = loads.get(replica.replica) ?? makeReplicaLoad();
                loads.set(replica.replica, load);
                load.update(replica, nowMs);
            }
            outlierDetector.setReplicas(next.map(({ replica }) => replica));
            deleteIdle(loads, new Set(next.map(({ replica }) => replica)));
        },
        replicas: () => replicas,
        candidates: nowMs => {
            const mean = loadEstimator.meanOthers(nowMs);
            const placesShare = places(nowMs) / Math.max(1, limitOfAll());
            return replicas.flatMap(replica => {
                const load = loadOf(replica);
                const routingLoad = loadEstimator.routingLoad(load, mean, nowMs);
                const hasPlace = load.own() + 1 <= ownLimitOf(replica, placesShare, nowMs);
                return hasPlace
                    ? [{ ...replica, inFlight: load.own(), load: routingLoad / Math.max(1, limitOf(replica)) }]
                    : [];
            });
        },
        places,
        limit: limitOfAll,
        start: (replica, nowMs) => {
            const load = loads.get(replica)!;
            load.count(1, nowMs);
            return loadEstimator.total(load, loadEstimator.meanOthers(nowMs), nowMs);
        },
        end: (replica, runningAtStart, nowMs, feedback) => {
            const load = loads.get(replica);
            if (load === undefined) {
                return;
            }
            const runningAtEnd = loadEstimator.total(load, loadEstimator.meanOthers(nowMs), nowMs);
            load.count(-1, nowMs);
            if (feedback?.kind === "failed") {
                outlierDetector.observeFailure(replica, nowMs);
            }
            if (feedback?.kind === "answered" && feedback.betweenTokensMs !== undefined) {
                const running = (runningAtStart + runningAtEnd) / 2;
                concurrencyLimit?.observe(running, feedback.betweenTokensMs);
                outlierDetector.observe(replica, feedback.betweenTokensMs, nowMs);
            }
        },
        inFlightOf: replica => loads.get(replica)?.own() ?? 0,
    };
}

function makeLimitFor({ concurrency, betweenTokensMs: targetMs }: Replica): ConcurrencyLimit {
    return targetMs === undefined
        ? { limit: () => concurrency, observe: () => undefined }
        : makeConcurrencyLimit({ declared: concurrency, targetMs });
}

function hasSameDeclaration(a: Replica, b: Replica | undefined): boolean {
    return a.concurrency === b?.concurrency && a.betweenTokensMs === b.betweenTokensMs;
}

/** Deletes removed replicas once they are idle; their running requests are counted until they end. */
function deleteIdle(loads: Map<string, ReplicaLoad>, kept: ReadonlySet<string>): void {
    for (const [name, load] of loads) {
        if (!kept.has(name) && load.own() === 0) {
            loads.delete(name);
        }
    }
}
