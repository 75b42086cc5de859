/** What a process believes of load that it does not see by itself: others' work, by reports that lag. */
import { type ReplicaLoad } from "./replicaLoad";

export type SharedLoad = {
    /** Mean over the replicas of the work that others have there. */
    readonly meanOthers: (nowMs: number) => number;
    /** All work on a replica. */
    readonly total: (load: ReplicaLoad, meanOthers: number, nowMs: number) => number;
    /**
     * The load to choose by. Every process sees the same deviation of a replica from the mean, so each corrects its
     * part of it only: if all corrected it in full, the load would swing from replica to replica as reports come in.
     */
    readonly shown: (load: ReplicaLoad, meanOthers: number, nowMs: number) => number;
};

type Options = {
    readonly loads: () => readonly ReplicaLoad[];
    readonly peers: () => number;
    /** How long work lately held its place: the time over which a report loses its meaning. */
    readonly holdMs: () => number;
};

export function makeSharedLoad({ loads, peers, holdMs }: Options): SharedLoad {
    /** Others' work as reported, which fades towards the mean over all replicas as the report ages. */
    const others = (load: ReplicaLoad, meanOthers: number, nowMs: number): number => {
        const reported = load.others(nowMs);
        const weight = reported === undefined ? 0 : Math.exp(-reported.ageMs / holdMs());
        return meanOthers + weight * ((reported?.count ?? 0) - meanOthers);
    };
    return {
        meanOthers: nowMs => {
            const counts = loads().map(load => load.others(nowMs)?.count).filter(count => count !== undefined);
            return counts.length === 0 ? 0 : counts.reduce((sum, count) => sum + count, 0) / counts.length;
        },
        total: (load, meanOthers, nowMs) => load.own() + others(load, meanOthers, nowMs),
        shown: (load, meanOthers, nowMs) => load.own() + (others(load, meanOthers, nowMs) - meanOthers) / peers(),
    };
}
