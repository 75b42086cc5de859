/**
 * The requests of one service: which start, which wait and in which order, and which are refused.
 *
 * Short work goes before long work and has places that long work cannot take; a part of the places goes to long work
 * first, so that it is not starved. Within a class workspaces share by weight. A request is queued only when it will
 * start well within the time it has left, so that a refusal comes at once and hardly ever after a wait.
 */
import {
    type DrainRate,
    type FairQueue,
    makeDrainRate,
    makeFairQueue,
    makePlaceReserve,
    makeWorkspaceUsage,
} from "../admission";
import { type DispatcherOptions, type Job, type Started, type Submission, type Usage } from "./dispatcher";
import { type Account, makeReplicaPool, type ReplicaPool } from "./replicaPool";
import { chooseReplica, type Replica } from "./routingPolicies";

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

type WorkClass = Job["workClass"];
type Work = { readonly replica: string; workClass: WorkClass; readonly startedAtMs: number; readonly running: number };

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
const unknownHoldMs = 1_000;

export function makeServiceQueue(options: DispatcherOptions & { readonly peers: () => number }): ServiceQueue {
    const traits = traitsOf[options.admission];
    const drains: Readonly<Record<WorkClass, DrainRate>> = { short: makeDrainRate(), long: makeDrainRate() };
    const queues: Readonly<Record<WorkClass, FairQueue<Job>>> = { short: makeFairQueue(), long: makeFairQueue() };
    const reserve = makePlaceReserve();
    const usage = makeWorkspaceUsage();
    const started = new Map<string, Work>();
    const running: Record<WorkClass, number> = { short: 0, long: 0 };
    const firstToken = makeDrainRate();
    let turn = 0;

    const holdMs = (): number => {
        const known = (["short", "long"] as const).map(name => (drains[name].holdMs() ?? 0) * running[name]);
        return (known[0]! + known[1]!) / Math.max(1, running.short + running.long) || unknownHoldMs;
    };
    const pool = makeReplicaPool({ adaptive: traits.reserves, peers: options.peers, holdMs });

    const longPlaces = (nowMs: number): number => {
        const places = pool.places(nowMs);
        return traits.reserves ? reserve.longPlaces(places, nowMs) : places;
    };
    const placesOf: Readonly<Record<WorkClass, (nowMs: number) => number>> = {
        short: nowMs => pool.places(nowMs) - running.long,
        long: longPlaces,
    };

    const hasPlaceFor = (name: WorkClass, nowMs: number): boolean =>
        running.short + running.long < pool.places(nowMs) && (name === "short" || running.long < longPlaces(nowMs));

    const tryStart = (job: Job, nowMs: number, random: () => number): Replica | undefined => {
        if (!hasPlaceFor(job.workClass, nowMs)) {
            return undefined;
        }
        const candidates = pool.candidates(nowMs).filter(({ replica }) => !job.avoid.has(replica));
        const own = candidates.filter(candidate => candidate.availabilityZone === options.availabilityZone);
        const chosen = chooseReplica(options.routing, own.length > 0 ? own : candidates, random, turn++);
        if (chosen === undefined) {
            return undefined;
        }
        const runningThere = pool.start(chosen.replica, nowMs);
        started.set(job.id, {
            replica: chosen.replica,
            workClass: job.workClass,
            startedAtMs: nowMs,
            running: runningThere,
        });
        running[job.workClass]++;
        reserve.note(running.short, nowMs);
        usage.noteStart(job, nowMs);
        return chosen;
    };

    const startFrom = (name: WorkClass, nowMs: number, random: () => number): Started | undefined => {
        if (queues[name].size() === 0 || !hasPlaceFor(name, nowMs)) {
            return undefined;
        }
        let replica: Replica | undefined;
        const job = queues[name].startFirst(waiting => {
            replica = tryStart(waiting, nowMs, random);
            return replica !== undefined;
        });
        return job === undefined ? undefined : { id: job.id, replica: replica! };
    };

    const startNext = (nowMs: number, random: () => number): Started | undefined => {
        const longFirst = running.long < Math.floor(pool.places(nowMs) * longAssuredShare);
        const order: readonly WorkClass[] = longFirst ? ["long", "short"] : ["short", "long"];
        return startFrom(order[0]!, nowMs, random) ?? startFrom(order[1]!, nowMs, random);
    };

    /** The time that is left for waiting, once the engine's own time to the first token is taken off. */
    const patienceMs = (job: Job, nowMs: number): number => {
        const leftMs = job.startByMs - nowMs;
        return leftMs - Math.min(leftMs / 2, leadFactor * (firstToken.holdMs() ?? 0));
    };

    const refuse = (waitMs: number, random: () => number): Submission => ({
        kind: "refused",
        code: "overloaded",
        retryAfterMs: Math.max(leastRetryAfterMs, waitMs) * (1 + random()),
    });

    return {
        pool,
        submit: (offered, nowMs, random) => {
            const job = traits.shares ? offered : { ...offered, workspace: "", share: 1 };
            if (pool.replicas().every(({ replica }) => job.avoid.has(replica))) {
                return { kind: "refused", code: "noReplica", retryAfterMs: leastRetryAfterMs * (1 + random()) };
            }
            const queue = queues[traits.shares ? job.workClass : "short"];
            const replica = queue.size() === 0 ? tryStart(job, nowMs, random) : undefined;
            if (replica !== undefined) {
                queue.pass(job);
                return { kind: "started", replica };
            }
            const leftMs = patienceMs(job, nowMs);
            const waitMs = drains[job.workClass].waitMs(queue.aheadOf(job), placesOf[job.workClass](nowMs));
            const trusted = usage.isUnderShare(job, nowMs) ? underShareTrusted : trustedShare;
            if (leftMs <= 0 || (traits.estimates && waitMs > leftMs * trusted)) {
                return refuse(waitMs, random);
            }
            queue.push({ ...job, startByMs: nowMs + leftMs });
            return { kind: "queued" };
        },
        outgrow: id => {
            const work = started.get(id);
            if (work?.workClass === "short") {
                work.workClass = "long";
                running.short--;
                running.long++;
            }
        },
        release: (id, nowMs, account) => {
            const work = started.get(id);
            if (work === undefined) {
                return;
            }
            started.delete(id);
            running[work.workClass]--;
            pool.end(work.replica, work.running, nowMs, account);
            if (account?.kind !== "failed") {
                drains[work.workClass].learnHold(nowMs - work.startedAtMs);
            }
            if (account?.kind === "answered") {
                firstToken.learnHold(account.firstTokenMs);
            }
        },
        abandon: id => Object.values(queues).some(queue => queue.remove(job => job.id === id).length > 0),
        startQueued: (nowMs, random) => {
            const out: Started[] = [];
            if (queues.short.size() + queues.long.size() === 0) {
                return out;
            }
            for (let next = startNext(nowMs, random); next !== undefined; next = startNext(nowMs, random)) {
                out.push(next);
            }
            return out;
        },
        expire: nowMs =>
            Object.values(queues).flatMap(queue => queue.remove(job => nowMs >= job.startByMs)).map(job => job.id),
        size: () => queues.short.size() + queues.long.size(),
        usage: nowMs => ({ limit: pool.limit(), places: pool.places(nowMs), ...running }),
    };
}
