/**
 * The dispatcher holds the replicas that may be given work and the requests that wait for one.
 *
 * It decides, and does nothing else: time and randomness come in with each call, and what was decided goes out.
 */
import { type Account } from "./replicaPool";
import { type Replica, type routingPolicies } from "./routingPolicies";
import { type WorkClass } from "./runningWork";
import { makeServiceQueue, type ServiceQueue } from "./serviceQueue";

/** A request that wants a replica. */
export type Job = {
    readonly id: string;
    readonly service: string;
    readonly workspace: string;
    /** Weight of the workspace when there is not enough for all. */
    readonly share: number;
    readonly workClass: WorkClass;
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

/** How many requests of a service all processes may run at once, and how many this one may and does. */
export type Usage = {
    readonly limit: number;
    readonly places: number;
    readonly short: number;
    readonly long: number;
};

export type Dispatcher = {
    /** Replaces a service's replicas; running work on those that are gone is still counted until it is released. */
    readonly setReplicas: (service: string, replicas: readonly Replica[], nowMs: number) => void;
    /** How many processes share the replicas, this one included. */
    readonly setPeers: (peers: number) => void;
    readonly submit: (job: Job, nowMs: number, random: () => number) => Submission;
    /** Counts a started job as long work from now on. */
    readonly outgrow: (id: string) => void;
    /** Ends the work of a started job. */
    readonly release: (id: string, nowMs: number, account?: Account) => void;
    /** Takes a queued job out. */
    readonly abandon: (id: string) => void;
    /** Starts what can start now. */
    readonly startQueued: (nowMs: number, random: () => number) => readonly Started[];
    /** Takes out what can no longer start in time. */
    readonly expire: (nowMs: number) => readonly string[];
    readonly inFlightOf: (replica: string) => number;
    readonly queuedOf: (service: string) => number;
    readonly usageOf: (service: string, nowMs: number) => Usage;
};

export type DispatcherOptions = {
    /** The zone of this process: its replicas go before those of other zones. */
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
    const settle = (id: string): ServiceQueue | undefined => {
        const queue = serviceOf.get(id);
        serviceOf.delete(id);
        return queue;
    };

    return {
        setReplicas: (service, replicas, nowMs) => queueOf(service).pool.set(replicas, nowMs),
        setPeers: count => {
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
        outgrow: id => serviceOf.get(id)?.outgrow(id),
        release: (id, nowMs, account) => settle(id)?.release(id, nowMs, account),
        abandon: id => {
            if (serviceOf.get(id)?.abandon(id)) {
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
