/** Starts requests of one service on its replicas, within the places of their class. */
import { makePlaceReserve } from "../admission";
import { type DispatcherOptions, type Job } from "./dispatcher";
import { makeReplicaPool, type ReplicaPool } from "./replicaPool";
import { chooseReplica, type Replica } from "./routingPolicies";
import { type RunningWork, type WorkClass } from "./runningWork";

export type Starter = {
    readonly pool: ReplicaPool;
    /** The replica that the job was started on, or nothing when there is no place for it. */
    readonly tryStart: (job: Job, nowMs: number, random: () => number) => Replica | undefined;
    readonly hasPlaceFor: (workClass: WorkClass, nowMs: number) => boolean;
    /** Places that one class of work can have, as long as the other stays as it is. */
    readonly placesFor: (workClass: WorkClass, nowMs: number) => number;
};

type Options = DispatcherOptions & {
    /** Whether places are kept from long work, shared with peers and adapted to the target. */
    readonly reserves: boolean;
    readonly peers: () => number;
};

export function makeStarter(options: Options, work: RunningWork): Starter {
    const reserve = makePlaceReserve();
    const pool = makeReplicaPool({ adaptive: options.reserves, peers: options.peers, holdMs: work.holdMs });
    let turn = 0;

    const placesBy: Readonly<Record<WorkClass, (nowMs: number) => number>> = {
        short: nowMs => pool.places(nowMs) - work.counts().long,
        long: nowMs => {
            const places = pool.places(nowMs);
            return options.reserves ? reserve.longPlaces(places, nowMs) : places;
        },
    };

    const hasPlaceFor = (workClass: WorkClass, nowMs: number): boolean => {
        const { short, long } = work.counts();
        return short + long < pool.places(nowMs) && (workClass === "short" || long < placesBy.long(nowMs));
    };

    const choose = (job: Job, nowMs: number, random: () => number): Replica | undefined => {
        const candidates = pool.candidates(nowMs).filter(({ replica }) => !job.avoid.has(replica));
        const own = candidates.filter(candidate => candidate.availabilityZone === options.availabilityZone);
        return chooseReplica(options.routing, own.length > 0 ? own : candidates, random, turn++);
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
                reserve.note(work.counts().short, nowMs);
            }
            return chosen;
        },
    };
}
