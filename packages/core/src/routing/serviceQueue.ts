/**
 * The requests of one service: which start, which wait and in which order, and which are refused.
 *
 * Short work goes before long work and has places that long work cannot take; a part of the places goes to long work
 * first, so that it is not starved. Within a class workspaces share by weight. A request is queued only when it will
 * start well within the time it has left, so that a refusal comes at once and hardly ever after a wait.
 */
import { type FairQueue, makeFairQueue, makeWorkspaceUsage } from "../admission";
import { type DispatcherOptions, type Job, type Started, type Submission, type Usage } from "./dispatcher";
import { type Account, type ReplicaPool } from "./replicaPool";
import { type Replica } from "./routingPolicies";
import { makeRunningWork, type WorkClass } from "./runningWork";
import { makeStarter } from "./starter";

export type ServiceQueue = {
    readonly pool: ReplicaPool;
    readonly submit: (job: Job, nowMs: number, random: () => number) => Submission;
    readonly outgrow: (id: string) => void;
    readonly release: (id: string, nowMs: number, account: Account | undefined) => void;
    /** Whether the job was waiting. */
    readonly abandon: (id: string) => boolean;
    readonly startQueued: (nowMs: number, random: () => number) => readonly Started[];
    readonly expire: (nowMs: number) => readonly string[];
    readonly size: () => number;
    readonly usage: (nowMs: number) => Usage;
};

/** What an admission policy does beyond filling places in order. */
type Traits = { readonly reserves: boolean; readonly estimates: boolean; readonly shares: boolean };
const traitsOf: Readonly<Record<DispatcherOptions["admission"], Traits>> = {
    reserved: { reserves: true, estimates: true, shares: true },
    firstCome: { reserves: false, estimates: false, shares: false },
};

const leastRetryAfterMs = 1_000;
/** Part of the time left that the estimated wait may take, since the estimate can be wrong by a factor. */
const trustedShare = 0.4;
/** The same for a workspace under its share, whose wait the fair queue bounds whatever others ask for. */
const underShareTrusted = 0.9;
/** Part of the places that go to waiting long work before short work. */
const longAssuredShare = 0.1;
/** Mean times to an engine's first token that are kept free before a deadline. */
const leadFactor = 1.5;

export function makeServiceQueue(options: DispatcherOptions & { readonly peers: () => number }): ServiceQueue {
    const traits = traitsOf[options.admission];
    const queues: Readonly<Record<WorkClass, FairQueue<Job>>> = { short: makeFairQueue(), long: makeFairQueue() };
    const work = makeRunningWork();
    const starter = makeStarter({ ...options, reserves: traits.reserves }, work);
    const { pool } = starter;
    const usage = makeWorkspaceUsage();

    const start = (job: Job, nowMs: number, random: () => number): Replica | undefined => {
        const replica = starter.tryStart(job, nowMs, random);
        if (replica !== undefined) {
            usage.noteStart(job, nowMs);
        }
        return replica;
    };

    const startFrom = (name: WorkClass, nowMs: number, random: () => number): Started | undefined => {
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

    const startNext = (nowMs: number, random: () => number): Started | undefined => {
        const longFirst = work.counts().long < Math.floor(pool.places(nowMs) * longAssuredShare);
        const order: readonly WorkClass[] = longFirst ? ["long", "short"] : ["short", "long"];
        return startFrom(order[0]!, nowMs, random) ?? startFrom(order[1]!, nowMs, random);
    };

    /** Queues a job that cannot start now, or refuses it when it would not start in time. */
    const enqueue = (job: Job, queue: FairQueue<Job>, nowMs: number, random: () => number): Submission => {
        const leftMs = patienceMs(job.startByMs - nowMs, work.firstTokenMs());
        const places = starter.placesFor(job.workClass, nowMs);
        const waitMs = work.waitMs(job.workClass, queue.aheadOf(job), places);
        const trusted = usage.isUnderShare(job, nowMs) ? underShareTrusted : trustedShare;
        if (leftMs <= 0 || (traits.estimates && waitMs > leftMs * trusted)) {
            return { kind: "refused", code: "overloaded", retryAfterMs: retryAfterMs(waitMs, random) };
        }
        queue.push({ ...job, startByMs: nowMs + leftMs });
        return { kind: "queued" };
    };

    const submit = (offered: Job, nowMs: number, random: () => number): Submission => {
        const job = traits.shares ? offered : { ...offered, workspace: "", share: 1 };
        if (pool.replicas().every(({ replica }) => job.avoid.has(replica))) {
            return { kind: "refused", code: "noReplica", retryAfterMs: retryAfterMs(0, random) };
        }
        const queue = queues[traits.shares ? job.workClass : "short"];
        const replica = queue.size() === 0 ? start(job, nowMs, random) : undefined;
        if (replica === undefined) {
            return enqueue(job, queue, nowMs, random);
        }
        queue.pass(job);
        return { kind: "started", replica };
    };

    return {
        pool,
        submit,
        outgrow: work.outgrow,
        release: (id, nowMs, account) => {
            const ended = work.end(id, nowMs, account);
            if (ended !== undefined) {
                pool.end(ended.replica, ended.running, nowMs, account);
            }
        },
        abandon: id => Object.values(queues).some(queue => queue.remove(job => job.id === id).length > 0),
        startQueued: (nowMs, random) => {
            const out: Started[] = [];
            for (let next = startNext(nowMs, random); next !== undefined; next = startNext(nowMs, random)) {
                out.push(next);
            }
            return out;
        },
        expire: nowMs =>
            Object.values(queues).flatMap(queue => queue.remove(job => nowMs >= job.startByMs)).map(job => job.id),
        size: () => queues.short.size() + queues.long.size(),
        usage: nowMs => ({ limit: pool.limit(), places: pool.places(nowMs), ...work.counts() }),
    };
}

/** The time that is left for waiting, once the engine's own time to the first token is taken off. */
function patienceMs(leftMs: number, firstTokenMs: number): number {
    return leftMs - Math.min(leftMs / 2, leadFactor * firstTokenMs);
}

/** When to come back: the estimated wait, spread so that callers do not come back all at once. */
function retryAfterMs(waitMs: number, random: () => number): number {
    return Math.max(leastRetryAfterMs, waitMs) * (1 + random());
}
