/**
 * The dispatcher assigns requests to replicas and queues those that cannot start yet.
 *
 * It performs no I/O: time and randomness are passed to each call, and the decisions are returned. A place is the
 * capacity to run one request; a replica has as many places as its concurrency limit.
 */
import { type AttemptFeedback } from "./replicaPool";
import { type Replica, type routingPolicies } from "./routingPolicies";
import { type WorkClass } from "./runningWork";
import { makeServiceQueue, type ServiceQueue } from "./serviceQueue";

/** A request to be assigned to a replica. */
export type Job = {
    readonly id: string;
    readonly service: string;
    readonly workspace: string;
    /** Weight of the workspace when demand exceeds capacity. */
    readonly share: number;
    readonly workClass: WorkClass;
    readonly priority: number;
    /** The deadline for the start. */
    readonly startDeadlineMs: number;
    /** Replicas that this request must not use because it tried them before. */
    readonly excludedReplicas: ReadonlySet<string>;
};

export type StartedJob = { readonly id: string; readonly replica: Replica };

export type Submission =
    | { readonly kind: "started"; readonly replica: Replica }
    | { readonly kind: "queued" }
    | { readonly kind: "refused"; readonly code: "noReplica" | "overloaded"; readonly retryAfterMs: number };

/** The concurrency limit of all processes, the places of this one, and its running requests by work class. */
export type ServiceUsage = {
    readonly limit: number;
    readonly places: number;
    readonly short: number;
    readonly long: number;
};

export type Dispatcher = {
    /** Replaces a service's replicas; requests running on removed ones are counted until they are released. */
    readonly setReplicas: (service: string, replicas: readonly Replica[], nowMs: number) => void;
    /** Sets how many processes share the replicas, this one included. */
    readonly setProcessCount: (peers: number) => void;
    readonly submit: (job: Job, nowMs: number, random: () => number) => Submission;
    /** Moves a started job to the long work class. */
    readonly reclassifyAsLong: (id: string) => void;
    /** Ends a started job and frees its place. */
    readonly release: (id: string, nowMs: number, feedback?: AttemptFeedback) => void;
    /** Removes a queued job. */
    readonly cancel: (id: string) => void;
    /** Starts the queued jobs that can start now. */
    readonly startQueued: (nowMs: number, random: () => number) => readonly StartedJob[];
    /** Removes the queued jobs whose start deadline has passed, and returns their ids. */
    readonly expire: (nowMs: number) => readonly string[];
    readonly inFlightOf: (replica: string) => number;
    readonly queuedOf: (service: string) => number;
    readonly usageOf: (service: string, nowMs: number) => ServiceUsage;
};

export type DispatcherOptions = {
    /** The availability zone of this process, whose replicas are preferred over those of other zones. */
    readonly availabilityZone: string;
    readonly routing: keyof typeof routingPolicies;
    readonly admission: "reserved" | "firstCome";
};

export function makeDispatcher(options: DispatcherOptions): Dispatcher {
    const services = new Map<string, ServiceQueue>();
    const serviceOf = new Map<string, ServiceQueue>();
    let peers = 1;

    const queueOf = (service: string): ServiceQueue => {
        const known = services.get(service) ?? makeServiceQueue({ ...options, peers: () => peers });
        services.set(service, known);
        return known;
    };
    const takeQueueOf = (id: string): ServiceQueue | undefined => {
        const queue = serviceOf.get(id);
        serviceOf.delete(id);
        return queue;
    };

    return {
        setReplicas: (service, replicas, nowMs) => queueOf(service).pool.setReplicas(replicas, nowMs),
        setProcessCount: count => {
            peers = Math.max(1, count);
        },
        submit: (job, nowMs, random) => {
            const queue = queueOf(job.service);
            const submission = queue.submit(job, nowMs, random);
            if (submission.kind !== "refused") {
                serviceOf.set(job.id, queue);
            }
            return submission;
        },
        reclassifyAsLong: id => serviceOf.get(id)?.reclassifyAsLong(id),
        release: (id, nowMs, feedback) => takeQueueOf(id)?.release(id, nowMs, feedback),
        cancel: id => {
            if (serviceOf.get(id)?.cancel(id)) {
                serviceOf.delete(id);
            }
        },
        startQueued: (nowMs, random) => [...services.values()].flatMap(queue => queue.startQueued(nowMs, random)),
        expire: nowMs => {
            const expired = [...services.values()].flatMap(queue => queue.expire(nowMs));
            expired.forEach(id => serviceOf.delete(id));
            return expired;
        },
        inFlightOf: replica => [...services.values()].reduce((sum, { pool }) => sum + pool.inFlightOf(replica), 0),
        usageOf: (service, nowMs) => queueOf(service).usage(nowMs),
        queuedOf: service => services.get(service)?.size() ?? 0,
    };
}
