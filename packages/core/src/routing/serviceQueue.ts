/**
 * Admission for the requests of one service: which start, which wait in which order, and which are refused.
 *
 * Short requests start before long ones and have reserved places; a part of the places goes to long requests first, so
 * that they are not starved. Within a class, workspaces share by weight. A request is queued only if it is expected to
 * start well before its deadline; otherwise it is refused at once rather than after a wait.
 */
import { type FairQueue, makeFairQueue, makeWorkspaceUsage } from "../admission";
import { type DispatcherOptions, type Job, type ServiceUsage, type StartedJob, type Submission } from "./dispatcher";
import { type AttemptFeedback, type ReplicaPool } from "./replicaPool";
import { type Replica } from "./routingPolicies";
import { makeRunningWork, type WorkClass } from "./runningWork";
import { makeStarter } from "./starter";

export type ServiceQueue = {
    readonly pool: ReplicaPool;
    readonly submit: (job: Job, nowMs: number, random: () => number) => Submission;
    readonly reclassifyAsLong: (id: string) => void;
    readonly release: (id: string, nowMs: number, feedback: AttemptFeedback | undefined) => void;
    /** Removes a queued job; returns whether it was queued. */
    readonly cancel: (id: string) => boolean;
    readonly startQueued: (nowMs: number, random: () => number) => readonly StartedJob[];
    readonly expire: (nowMs: number) => readonly string[];
    readonly size: () => number;
    readonly usage: (nowMs: number) => ServiceUsage;
};

/** What an admission policy does beyond filling places in order of arrival. */
type AdmissionTraits = {
    readonly reservesPlaces: boolean;
    readonly checksWait: boolean;
    readonly sharesByWorkspace: boolean;
};
const admissionTraits: Readonly<Record<DispatcherOptions["admission"], AdmissionTraits>> = {
    reserved: { reservesPlaces: true, checksWait: true, sharesByWorkspace: true },
    firstCome: { reservesPlaces: false, checksWait: false, sharesByWorkspace: false },
};

const minRetryAfterMs = 1_000;
/** Part of the remaining time that the estimated wait may take, since the estimate can be wrong by a factor. */
const maxWaitShare = 0.4;
/** The same for a workspace below its share: the fair queue bounds its wait whatever the others submit. */
const underShareMaxWaitShare = 0.9;
/** Part of the places that queued long requests get before short ones. */
const guaranteedLongShare = 0.1;
/** Time reserved before a deadline for the engine's first token, as a multiple of its mean. */
const firstTokenMargin = 1.5;

export function makeServiceQueue(options: DispatcherOptions & { readonly peers: () => number }): ServiceQueue {
    const traits = admissionTraits[options.admission];
    const queues: Readonly<Record<WorkClass, FairQueue<Job>>> = { short: makeFairQueue(), long: makeFairQueue() };
    const work = makeRunningWork();
    const starter = makeStarter({ ...options, reservesPlaces: traits.reservesPlaces }, work);
    const { pool } = starter;
    const usage = makeWorkspaceUsage();

    const start = (job: Job, nowMs: number, random: () => number): Replica | undefined => {
        const replica = starter.tryStart(job, nowMs, random);
        if (replica !== undefined) {
            usage.recordStart(job, nowMs);
        }
        return replica;
    };

    const startFrom = (name: WorkClass, nowMs: number, random: () => number): StartedJob | undefined => {
        if (queues[name].size() === 0 || !starter.hasPlaceFor(name, nowMs)) {
            return undefined;
        }
        let replica: Replica | undefined;
        const job = queues[name].startFirst(waiting => {
            replica = start(waiting, nowMs, random);
            return replica !== undefined;
        });
        return job === undefined ? undefined : { id: job.id, replica: replica! };
    };

    const startNext = (nowMs: number, random: () => number): StartedJob | undefined => {
        const longFirst = work.counts().long < Math.floor(pool.places(nowMs) * guaranteedLongShare);
        const order: readonly WorkClass[] = longFirst ? ["long", "short"] : ["short", "long"];
        return startFrom(order[0]!, nowMs, random) ?? startFrom(order[1]!, nowMs, random);
    };

    /** Queues a job that cannot start now, or refuses it if it is not expected to start in time. */
    const enqueue = (job: Job, queue: FairQueue<Job>, nowMs: number, random: () => number): Submission => {
        const leftMs = waitBudgetMs(job.startDeadlineMs - nowMs, work.firstTokenMs());
        const places = starter.placesFor(job.workClass, nowMs);
        const waitMs = work.waitMs(job.workClass, queue.aheadOf(job), places);
        const waitShare = usage.isUnderShare(job, nowMs) ? underShareMaxWaitShare : maxWaitShare;
        if (leftMs <= 0 || (traits.checksWait && waitMs > leftMs * waitShare)) {
            return { kind: "refused", code: "overloaded", retryAfterMs: retryAfterMs(waitMs, random) };
        }
        queue.push({ ...job, startDeadlineMs: nowMs + leftMs });
        return { kind: "queued" };
    };

    const submit = (offered: Job, nowMs: number, random: () => number): Submission => {
        const job = traits.sharesByWorkspace ? offered : { ...offered, workspace: "", share: 1 };
        if (pool.replicas().every(({ replica }) => job.excludedReplicas.has(replica))) {
            return { kind: "refused", code: "noReplica", retryAfterMs: retryAfterMs(0, random) };
        }
        const queue = queues[traits.sharesByWorkspace ? job.workClass : "short"];
        const replica = queue.size() === 0 ? start(job, nowMs, random) : undefined;
        if (replica === undefined) {
            return enqueue(job, queue, nowMs, random);
        }
        queue.recordStarted(job);
        return { kind: "started", replica };
    };

    return {
        pool,
        submit,
        reclassifyAsLong: work.reclassifyAsLong,
        release: (id, nowMs, feedback) => {
            const ended = work.end(id, nowMs, feedback);
            if (ended !== undefined) {
                pool.end(ended.replica, ended.running, nowMs, feedback);
            }
        },
        cancel: id => Object.values(queues).some(queue => queue.remove(job => job.id === id).length > 0),
        startQueued: (nowMs, random) => {
            const started: StartedJob[] = [];
            for (let next = startNext(nowMs, random); next !== undefined; next = startNext(nowMs, random)) {
                started.push(next);
            }
            return started;
        },
        expire: nowMs =>
            Object.values(queues).flatMap(queue => queue.remove(job => nowMs >= job.startDeadlineMs)).map(job =>
                job.id
            ),
        size: () => queues.short.size() + queues.long.size(),
        usage: nowMs => ({ limit: pool.limit(), places: pool.places(nowMs), ...work.counts() }),
    };
}

/** The time a job can wait: the remaining time less the engine's time to the first token. */
function waitBudgetMs(leftMs: number, firstTokenMs: number): number {
    return leftMs - Math.min(leftMs / 2, firstTokenMargin * firstTokenMs);
}

/** When to retry: the estimated wait with jitter, so that callers do not retry all at once. */
function retryAfterMs(waitMs: number, random: () => number): number {
    return Math.max(minRetryAfterMs, waitMs) * (1 + random());
}
