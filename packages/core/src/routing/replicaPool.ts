/** The replicas of one service: how loaded each is, how much more it may be given, and which are left out. */
import { type ConcurrencyLimit, makeConcurrencyLimit, placeBudget } from "../admission";
import { makeOutliers } from "./outliers";
import { makeReplicaLoad, type ReplicaLoad } from "./replicaLoad";
import { type Replica, type ReplicaState } from "./routingPolicies";
import { makeSharedLoad } from "./sharedLoad";

/** How an attempt fared, as far as it says something about its replica. */
export type Account =
    | {
        readonly kind: "answered";
        readonly firstTokenMs: number;
        /** Missing when the answer had fewer than two tokens. */
        readonly betweenTokensMs?: number;
    }
    | { readonly kind: "failed" };

export type ReplicaPool = {
    readonly set: (replicas: readonly Replica[], nowMs: number) => void;
    readonly replicas: () => readonly Replica[];
    /** Replicas that can take one more request now. */
    readonly candidates: (nowMs: number) => readonly ReplicaState[];
    /** How many requests this process may have on all of them together. */
    readonly places: (nowMs: number) => number;
    /** How many requests all processes together may have on them. */
    readonly limit: () => number;
    readonly start: (replica: string, nowMs: number) => number;
    readonly end: (replica: string, runningAtStart: number, nowMs: number, account: Account | undefined) => void;
    readonly inFlightOf: (replica: string) => number;
};

export type PoolOptions = {
    /** Whether limits adapt, are shared with peers, and outliers are ejected; otherwise each replica has its declared places. */
    readonly adaptive: boolean;
    readonly peers: () => number;
    /** How long work lately held its place: the time over which a report loses its meaning. */
    readonly holdMs: () => number;
};

export function makeReplicaPool(options: PoolOptions): ReplicaPool {
    const loads = new Map<string, ReplicaLoad>();
    const outliers = makeOutliers();
    const loadOf = (replica: Replica): ReplicaLoad => loads.get(replica.replica)!;
    const shared = makeSharedLoad({ ...options, loads: () => replicas.map(loadOf) });
    let replicas: readonly Replica[] = [];
    let declared: Replica | undefined;
    let common: ConcurrencyLimit | undefined;

    /** Replicas of one service are alike: the answers of all show what each can take. */
    const limitOf = (replica: Replica): number =>
        options.adaptive ? Math.min(replica.concurrency, common?.limit() ?? replica.concurrency) : replica.concurrency;

    const limitOfAll = (): number => replicas.reduce((sum, replica) => sum + limitOf(replica), 0);

    const places = (nowMs: number): number => {
        const usable = replicas.filter(({ replica }) => outliers.standing(replica, nowMs) === "in");
        const parts = (options.adaptive ? usable : replicas).map(replica => {
            return { limit: limitOf(replica), recent: loadOf(replica).recent(nowMs) };
        });
        return options.adaptive
            ? placeBudget(parts, options.peers())
            : parts.reduce((sum, { limit }) => sum + limit, 0);
    };

    /** How much own work one replica takes: its part of the places, and one more so that all places can be used. */
    const sliceOf = (replica: Replica, spread: number, nowMs: number): number => {
        const limit = limitOf(replica);
        const sliceBy = {
            in: () => Math.min(limit, Math.ceil(limit * spread) + 1),
            onTrial: () => 1,
            out: () => 0,
        };
        return options.adaptive ? sliceBy[outliers.standing(replica.replica, nowMs)]() : limit;
    };

    return {
        set: (next, nowMs) => {
            replicas = next;
            // What was learnt under another declaration says nothing about this one.
            if (next[0] !== undefined && !isDeclaredAlike(next[0], declared)) {
                declared = next[0];
                common = limitFor(next[0]);
            }
            for (const replica of next) {
                const load = loads.get(replica.replica) ?? makeReplicaLoad();
                loads.set(replica.replica, load);
                load.update(replica, nowMs);
            }
            outliers.keep(next.map(({ replica }) => replica));
            forgetIdle(loads, new Set(next.map(({ replica }) => replica)));
        },
        replicas: () => replicas,
        candidates: nowMs => {
            const mean = shared.meanOthers(nowMs);
            const spread = places(nowMs) / Math.max(1, limitOfAll());
            return replicas.flatMap(replica => {
                const load = loadOf(replica);
                const shown = shared.shown(load, mean, nowMs);
                const hasPlace = load.own() + 1 <= sliceOf(replica, spread, nowMs);
                return hasPlace
                    ? [{ ...replica, inFlight: load.own(), load: shown / Math.max(1, limitOf(replica)) }]
                    : [];
            });
        },
        places,
        limit: limitOfAll,
        start: (replica, nowMs) => {
            const load = loads.get(replica)!;
            load.count(1, nowMs);
            return shared.total(load, shared.meanOthers(nowMs), nowMs);
        },
        end: (replica, runningAtStart, nowMs, account) => {
            const load = loads.get(replica);
            if (load === undefined) {
                return;
            }
            const runningAtEnd = shared.total(load, shared.meanOthers(nowMs), nowMs);
            load.count(-1, nowMs);
            if (account?.kind === "failed") {
                outliers.observeFailure(replica, nowMs);
            }
            if (account?.kind === "answered" && account.betweenTokensMs !== undefined) {
                const running = (runningAtStart + runningAtEnd) / 2;
                common?.observe(running, account.betweenTokensMs);
                outliers.observe(replica, account.betweenTokensMs, nowMs);
            }
        },
        inFlightOf: replica => loads.get(replica)?.own() ?? 0,
    };
}

function limitFor({ concurrency, betweenTokensMs: targetMs }: Replica): ConcurrencyLimit {
    return targetMs === undefined
        ? { limit: () => concurrency, observe: () => undefined }
        : makeConcurrencyLimit({ declared: concurrency, targetMs });
}

function isDeclaredAlike(a: Replica, b: Replica | undefined): boolean {
    return a.concurrency === b?.concurrency && a.betweenTokensMs === b.betweenTokensMs;
}

/** Work on a replica that is gone is counted until it has ended. */
function forgetIdle(loads: Map<string, ReplicaLoad>, kept: ReadonlySet<string>): void {
    for (const [name, load] of loads) {
        if (!kept.has(name) && load.own() === 0) {
            loads.delete(name);
        }
    }
}
