/**
 * The dispatcher holds the replicas that may be given work and the requests that wait for one.
 *
 * It decides, and does nothing else: time and randomness come in with each call, and what was decided goes out.
 */
import { chooseReplica, type Replica, type routingPolicies } from "./routingPolicies";

/** A request that wants a replica. */
export type Job = {
    readonly id: string;
    readonly service: string;
    readonly workspace: string;
    readonly workClass: "short" | "long";
    readonly priority: number;
    /** The instant by which it must have started. */
    readonly startByMs: number;
    /** Replicas that this request has tried already. */
    readonly avoid: ReadonlySet<string>;
};

export type Started = { readonly id: string; readonly replica: Replica };

export type Submission =
    | { readonly kind: "started"; readonly replica: Replica }
    | { readonly kind: "queued" }
    | { readonly kind: "refused"; readonly code: "noReplica" | "overloaded"; readonly retryAfterMs: number };

export type Dispatcher = {
    /** Replaces a service's replicas; running work on those that are gone is still counted until it is released. */
    readonly setReplicas: (service: string, replicas: readonly Replica[]) => void;
    readonly submit: (job: Job, nowMs: number, random: () => number) => Submission;
    /** Ends the work of a started job. */
    readonly release: (id: string) => void;
    /** Takes a queued job out. */
    readonly abandon: (id: string) => void;
    /** Starts what can start now. */
    readonly startQueued: (nowMs: number, random: () => number) => readonly Started[];
    /** Takes out what can no longer start in time. */
    readonly expire: (nowMs: number) => readonly string[];
    readonly inFlightOf: (replica: string) => number;
    readonly queuedOf: (service: string) => number;
};

type Options = {
    /** The zone of this process: its replicas go before those of other zones. */
    readonly availabilityZone: string;
    readonly routing: keyof typeof routingPolicies;
    readonly admission: "reserved" | "firstCome";
};

/** Share of a replica's places that long work cannot take under the `reserved` policy. */
const reservedShare = 0.25;
const refusalRetryAfterMs = 1_000;

export function makeDispatcher(options: Options): Dispatcher {
    const replicasOf = new Map<string, readonly Replica[]>();
    const started = new Map<string, { readonly replica: string; readonly workClass: Job["workClass"] }>();
    const inFlight = new Map<string, { total: number; long: number }>();
    let queue: readonly Job[] = [];
    let turn = 0;

    const countsOf = (replica: string): { total: number; long: number } =>
        inFlight.get(replica) ?? { total: 0, long: 0 };

    const hasPlace = (replica: Replica, job: Job): boolean => {
        const { total, long } = countsOf(replica.replica);
        const longLimit = options.admission === "reserved"
            ? Math.max(1, Math.floor(replica.concurrency * (1 - reservedShare)))
            : replica.concurrency;
        return total < replica.concurrency && (job.workClass === "short" || long < longLimit);
    };

    const tryStart = (job: Job, random: () => number): Replica | undefined => {
        const candidates = (replicasOf.get(job.service) ?? [])
            .filter(replica => !job.avoid.has(replica.replica) && hasPlace(replica, job))
            .map(replica => ({ ...replica, inFlight: countsOf(replica.replica).total }));
        const own = candidates.filter(candidate => candidate.availabilityZone === options.availabilityZone);
        const chosen = chooseReplica(options.routing, own.length > 0 ? own : candidates, random, turn++);
        if (chosen !== undefined) {
            const counts = countsOf(chosen.replica);
            inFlight.set(chosen.replica, {
                total: counts.total + 1,
                long: counts.long + (job.workClass === "long" ? 1 : 0),
            });
            started.set(job.id, { replica: chosen.replica, workClass: job.workClass });
        }
        return chosen;
    };

    return {
        setReplicas: (service, replicas) => {
            replicasOf.set(service, replicas);
        },
        submit: (job, nowMs, random) => {
            const known = (replicasOf.get(job.service) ?? []).filter(replica => !job.avoid.has(replica.replica));
            if (known.length === 0) {
                return { kind: "refused", code: "noReplica", retryAfterMs: refusalRetryAfterMs };
            }
            const ahead = queue.some(waiting => waiting.service === job.service && comesBefore(waiting, job));
            const replica = ahead ? undefined : tryStart(job, random);
            if (replica !== undefined) {
                return { kind: "started", replica };
            }
            if (nowMs >= job.startByMs) {
                return { kind: "refused", code: "overloaded", retryAfterMs: refusalRetryAfterMs };
            }
            const position = queue.findIndex(waiting => !comesBefore(waiting, job));
            queue = position < 0 ? [...queue, job] : [...queue.slice(0, position), job, ...queue.slice(position)];
            return { kind: "queued" };
        },
        release: id => {
            const work = started.get(id);
            if (work === undefined) {
                return;
            }
            started.delete(id);
            const counts = countsOf(work.replica);
            inFlight.set(work.replica, {
                total: counts.total - 1,
                long: counts.long - (work.workClass === "long" ? 1 : 0),
            });
        },
        abandon: id => {
            queue = queue.filter(job => job.id !== id);
        },
        startQueued: (unusedNowMs, random) => {
            const out: Started[] = [];
            queue = queue.filter(job => {
                const replica = tryStart(job, random);
                if (replica !== undefined) {
                    out.push({ id: job.id, replica });
                }
                return replica === undefined;
            });
            return out;
        },
        expire: nowMs => {
            const expired = queue.filter(job => nowMs >= job.startByMs);
            queue = queue.filter(job => nowMs < job.startByMs);
            return expired.map(job => job.id);
        },
        inFlightOf: replica => countsOf(replica).total,
        queuedOf: service => queue.filter(job => job.service === service).length,
    };
}

/** Whether `waiting` stays before a newcomer: by priority, then short before long, then by arrival. */
function comesBefore(waiting: Job, newcomer: Job): boolean {
    if (waiting.priority !== newcomer.priority) {
        return waiting.priority > newcomer.priority;
    }
    return waiting.workClass === newcomer.workClass || waiting.workClass === "short";
}
