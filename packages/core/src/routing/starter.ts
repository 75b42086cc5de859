/** Starts requests of one service on its replicas, within the limit of their work class. */
import { makeShortWorkReserve } from "../admission";
import { type DispatcherOptions, type Job } from "./dispatcher";
import { makeReplicaPool, type ReplicaPool } from "./replicaPool";
import { chooseReplica, type Replica } from "./routingPolicies";
import { type RunningWork, type WorkClass } from "./runningWork";

export type Starter = {
    readonly pool: ReplicaPool;
    /** Starts a job and returns its replica; `undefined` when no place or replica is available. */
    readonly tryStart: (job: Job, nowMs: number, random: () => number) => Replica | undefined;
    readonly hasPlaceFor: (workClass: WorkClass, nowMs: number) => boolean;
    /** How many places a work class can use: short work those not used by long work, long work those not reserved. */
    readonly placesFor: (workClass: WorkClass, nowMs: number) => number;
};

type Options = DispatcherOptions & {
    /** Whether places are reserved for short work, split among processes and adapted to the target. */
    readonly reservesPlaces: boolean;
    readonly peers: () => number;
};

export function makeStarter(options: Options, work: RunningWork): Starter {
    const reserve = makeShortWorkReserve();
    const pool = makeReplicaPool({ adaptive: options.reservesPlaces, peers: options.peers, holdingMs: work.holdingMs });
    let requestIndex = 0;

    const placesBy: Readonly<Record<WorkClass, (nowMs: number) => number>> = {
        short: nowMs => pool.places(nowMs) - work.counts().long,
        long: nowMs => {
            const places = pool.places(nowMs);
            return options.reservesPlaces ? reserve.longPlaces(places, nowMs) : places;
        },
    };

    const hasPlaceFor = (workClass: WorkClass, nowMs: number): boolean => {
        const { short, long } = work.counts();
        return short + long < pool.places(nowMs) && (workClass === "short" || long < placesBy.long(nowMs));
    };

    const choose = (job: Job, nowMs: number, random: () => number): Replica | undefined => {
        const candidates = pool.candidates(nowMs).filter(({ replica }) => !job.excludedReplicas.has(replica));
        const sameZone = candidates.filter(candidate => candidate.availabilityZone === options.availabilityZone);
        return chooseReplica(options.routing, sameZone.length > 0 ? sameZone : candidates, random, requestIndex++);
    };

    return {
        pool,
        hasPlaceFor,
        placesFor: (workClass, nowMs) => placesBy[workClass](nowMs),
        tryStart: (job, nowMs, random) => {
            const chosen = hasPlaceFor(job.workClass, nowMs) ? choose(job, nowMs, random) : undefined;
            if (chosen !== undefined) {
                const running = pool.start(chosen.replica, nowMs);
                work.start(job.id, { replica: chosen.replica, workClass: job.workClass, startedAtMs: nowMs, running });
                reserve.observe(work.counts().short, nowMs);
            }
            return chosen;
        },
    };
}
