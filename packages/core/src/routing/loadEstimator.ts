/** Estimates the load that other processes put on the replicas from delayed reports. */
import { type ReplicaLoad } from "./replicaLoad";

export type LoadEstimator = {
    /** Mean number of requests of other processes per replica. */
    readonly meanOthers: (nowMs: number) => number;
    /** Estimated number of requests of all processes on a replica. */
    readonly total: (load: ReplicaLoad, meanOthers: number, nowMs: number) => number;
    /**
     * The load to compare replicas by. All processes see the same deviation of a replica from the mean, so each counts
     * only its part of it. If all corrected it in full, load would oscillate between replicas with each report.
     */
    readonly routingLoad: (load: ReplicaLoad, meanOthers: number, nowMs: number) => number;
};

type Options = {
    readonly loads: () => readonly ReplicaLoad[];
    readonly peers: () => number;
    /** Mean holding time of the running requests; a load report is outdated after about this time. */
    readonly holdingMs: () => number;
};

export function makeLoadEstimator({ loads, peers, holdingMs }: Options): LoadEstimator {
    /** Reported requests of other processes, which decay towards the mean over all replicas as the report ages. */
    const others = (load: ReplicaLoad, meanOthers: number, nowMs: number): number => {
        const reported = load.others(nowMs);
        const weight = reported === undefined ? 0 : Math.exp(-reported.ageMs / holdingMs());
        return meanOthers + weight * ((reported?.count ?? 0) - meanOthers);
    };
    return {
        meanOthers: nowMs => {
            const counts = loads().map(load => load.others(nowMs)?.count).filter(count => count !== undefined);
            return counts.length === 0 ? 0 : counts.reduce((sum, count) => sum + count, 0) / counts.length;
        },
        total: (load, meanOthers, nowMs) => load.own() + others(load, meanOthers, nowMs),
        routingLoad: (load, meanOthers, nowMs) => load.own() + (others(load, meanOthers, nowMs) - meanOthers) / peers(),
    };
}
