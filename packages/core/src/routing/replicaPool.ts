/** The replicas of one service: how loaded each is, how much more it may be given, and which are left out. */
import { type ConcurrencyLimit, makeConcurrencyLimit, placeBudget } from "../admission";
import { makeOutliers } from "./outliers";
import { makeReplicaLoad, type ReplicaLoad } from "./replicaLoad";
import { type Replica, type ReplicaState } from "./routingPolicies";

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

type Entry = { readonly load: ReplicaLoad };

export function makeReplicaPool(options: PoolOptions): ReplicaPool {
    const entries = new Map<string, Entry>();
    const outliers = makeOutliers();
    let replicas: readonly Replica[] = [];
    let common: ConcurrencyLimit | undefined;

    /** Replicas of one service are alike: the answers of all show what each can take. */
    const limitOf = (replica: Replica): number =>
        options.adaptive ? Math.min(replica.concurrency, common?.limit() ?? replica.concurrency) : replica.concurrency;

    const limitOfAll = (): number => replicas.reduce((sum, replica) => sum + limitOf(replica), 0);

    const places = (nowMs: number): number => {
        const usable = replicas.filter(({ replica }) => outliers.standing(replica, nowMs) === "in");
        const parts = (options.adaptive ? usable : replicas).map(replica => {
            const entry = entries.get(replica.replica)!;
            return { limit: limitOf(replica), recent: entry.load.recent(nowMs) };
        });
        return options.adaptive
            ? placeBudget(parts, options.peers())
            : parts.reduce((sum, { limit }) => sum + limit, 0);
    };

    /** Others' work as reported, which fades towards the mean over all replicas as the report ages. */
    const othersOf = (entry: Entry, meanCount: number, nowMs: number): number => {
        const others = entry.load.others(nowMs);
        const weight = others === undefined ? 0 : Math.exp(-others.ageMs / options.holdMs());
        return meanCount + weight * ((others?.count ?? 0) - meanCount);
    };

    const totalOf = (entry: Entry, nowMs: number): number =>
        entry.load.own() + othersOf(entry, meanOthers(nowMs), nowMs);

    /**
     * The load to choose by. Every process sees the same deviation of a replica from the mean, so each corrects its
     * part of it only: if all corrected it in full, the load would swing from replica to replica as reports come in.
     */
    const shownLoad = (entry: Entry, meanCount: number, nowMs: number): number =>
        entry.load.own() + (othersOf(entry, meanCount, nowMs) - meanCount) / options.peers();

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

    const meanOthers = (nowMs: number): number => {
        const counts = replicas
            .map(({ replica }) => entries.get(replica)!.load.others(nowMs)?.count)
            .filter(count => count !== undefined);
        return counts.length === 0 ? 0 : counts.reduce((sum, count) => sum + count, 0) / counts.length;
    };

    return {
        set: (next, nowMs) => {
            replicas = next;
            common ??= next[0] === undefined ? undefined : limitFor(next[0]);
            for (const replica of next) {
                const entry = entries.get(replica.replica) ?? { load: makeReplicaLoad() };
                entries.set(replica.replica, entry);
                entry.load.update(replica, nowMs);
            }
            outliers.keep(next.map(({ replica }) => replica));
            forgetIdle(entries, new Set(next.map(({ replica }) => replica)));
        },
        replicas: () => replicas,
        candidates: nowMs => {
            const mean = meanOthers(nowMs);
            const spread = places(nowMs) / Math.max(1, limitOfAll());
            return replicas.flatMap(replica => {
                const entry = entries.get(replica.replica)!;
                const shown = shownLoad(entry, mean, nowMs);
                const hasPlace = entry.load.own() + 1 <= sliceOf(replica, spread, nowMs);
                return hasPlace
                    ? [{ ...replica, inFlight: entry.load.own(), load: shown / Math.max(1, limitOf(replica)) }]
                    : [];
            });
        },
        places,
        limit: limitOfAll,
        start: (replica, nowMs) => {
            const entry = entries.get(replica)!;
            entry.load.count(1, nowMs);
            return totalOf(entry, nowMs);
        },
        end: (replica, runningAtStart, nowMs, account) => {
            const entry = entries.get(replica);
            if (entry === undefined) {
                return;
            }
            const runningAtEnd = totalOf(entry, nowMs);
            entry.load.count(-1, nowMs);
            if (account?.kind === "failed") {
                outliers.observeFailure(replica, nowMs);
            }
            if (account?.kind === "answered" && account.betweenTokensMs !== undefined) {
                const running = (runningAtStart + runningAtEnd) / 2;
                common?.observe(running, account.betweenTokensMs);
                outliers.observe(replica, account.betweenTokensMs, nowMs);
            }
        },
        inFlightOf: replica => entries.get(replica)?.load.own() ?? 0,
    };
}

function limitFor({ concurrency, betweenTokensMs: targetMs }: Replica): ConcurrencyLimit {
    return targetMs === undefined
        ? { limit: () => concurrency, observe: () => undefined }
        : makeConcurrencyLimit({ declared: concurrency, targetMs });
}

/** Work on a replica that is gone is counted until it has ended. */
function forgetIdle(entries: Map<string, Entry>, kept: ReadonlySet<string>): void {
    for (const [name, { load }] of entries) {
        if (!kept.has(name) && load.own() === 0) {
            entries.delete(name);
        }
    }
}
