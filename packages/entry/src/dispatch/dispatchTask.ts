/** Owns the dispatcher: requests ask it for a replica and give the place back when they have ended. */
import {
    type Account,
    type Job,
    type LengthHint,
    makeDispatcher,
    makeLengthEstimates,
    type Replica,
} from "@rattanquay/core";
import { ask, type Feed, type Reply, startTask } from "@rattanquay/task";
import { type Configuration } from "../config";
import { type Fleet, type ZoneKnowledge } from "../fleet";
import { type Surroundings } from "../surroundings";
import { servesOnFreshEvidence } from "./freshEvidence";
import { replicasOf } from "./replicasOf";

/** A request that wants a replica; with an `estimate`, its class and deadline follow from the length it is thought to have. */
export type Wanted = Omit<Job, "share"> & {
    readonly estimate?: {
        readonly kind: string;
        readonly maxTokens: number;
        readonly longFromTokens: number;
        readonly longStartByMs: number;
    };
};

/** A replica for a request, and the priority by which its engine takes it in. */
export type Granted = { readonly kind: "started"; readonly replica: Replica; readonly enginePriority: number };

/** What a request is told when it asks for a replica. */
export type Grant =
    | Granted
    | { readonly kind: "refused"; readonly code: "noReplica" | "overloaded"; readonly retryAfterMs: number };

/** How an attempt ended, as far as later decisions rest on it. */
export type AttemptAccount =
    | Extract<Account, { readonly kind: "answered" }> & { readonly tokens: number }
    | Extract<Account, { readonly kind: "failed" }>
    | { readonly kind: "ended" };

type Message =
    | { readonly kind: "admit"; readonly wanted: Wanted; readonly reply: Reply<Grant> }
    | { readonly kind: "outgrow"; readonly id: string }
    | { readonly kind: "release"; readonly id: string; readonly account: AttemptAccount }
    | { readonly kind: "abandon"; readonly id: string }
    | { readonly kind: "zone"; readonly zone: ZoneKnowledge }
    | { readonly kind: "expire" };

export type Dispatch = {
    /** Resolves when the job has a replica or can have none in time. */
    readonly admit: (wanted: Wanted) => Promise<Grant>;
    /** Counts a running job as long work from now on. */
    readonly outgrow: (id: string) => void;
    /** Gives the job's place back. */
    readonly release: (id: string, account?: AttemptAccount) => void;
    /** Takes back a job that may still wait, since nobody wants its answer any more. */
    readonly abandon: (id: string) => void;
    /** Whether this replica may still be given work, on evidence that is fresh now. */
    readonly stillServing: (replica: string) => boolean;
    readonly stop: () => void;
};

const expireIntervalMs = 20;
const expiredRetryAfterMs = 1_000;

type Known = { readonly enginePriority: number; readonly reply: Reply<Grant>; readonly hint: LengthHint | undefined };

export function startDispatch(surroundings: Surroundings, configuration: Feed<Configuration>, fleet: Fleet): Dispatch {
    const { settings, timer, random, metrics } = surroundings;
    const { availabilityZone } = settings.process;
    const dispatcher = makeDispatcher({ ...settings.policy, availabilityZone });
    const lengths = makeLengthEstimates();
    const known = new Map<string, Known>();

    const startQueued = (): void => {
        for (const { id, replica } of dispatcher.startQueued(timer.nowMs(), random)) {
            const job = known.get(id)!;
            job.reply({ kind: "started", replica, enginePriority: job.enginePriority });
        }
    };

    const shareOf = (workspace: string): number =>
        configuration.latest().snapshot.workspaces.get(workspace)?.share ?? 1;

    const jobOf = ({ estimate, ...wanted }: Wanted): Job => {
        const job = { ...wanted, share: shareOf(wanted.workspace) };
        const isLong = estimate !== undefined
            && lengths.expect({ ...estimate, workspace: wanted.workspace }) >= estimate.longFromTokens;
        return isLong ? { ...job, workClass: "long", startByMs: estimate.longStartByMs } : job;
    };

    const admit = (wanted: Wanted, reply: Reply<Grant>): void => {
        const job = jobOf(wanted);
        const submission = dispatcher.submit(job, timer.nowMs(), random);
        if (submission.kind === "refused") {
            reply(submission);
            return;
        }
        const enginePriority = 2 * job.priority + (job.workClass === "short" ? 1 : 0);
        const { estimate, workspace } = wanted;
        const hint = estimate === undefined ? undefined : { ...estimate, workspace };
        known.set(job.id, { enginePriority, reply, hint });
        if (submission.kind === "started") {
            reply({ ...submission, enginePriority });
        }
    };

    const release = (id: string, account: AttemptAccount): void => {
        const hint = known.get(id)?.hint;
        known.delete(id);
        if (account.kind === "answered" && hint !== undefined) {
            lengths.learn(hint, account.tokens);
        }
        dispatcher.release(id, timer.nowMs(), account.kind === "ended" ? undefined : account);
        startQueued();
    };

    const takeZone = (zone: ZoneKnowledge): void => {
        const { snapshot } = configuration.latest();
        const nowMs = timer.nowMs();
        dispatcher.setPeers(zone.entries.filter(entry => entry.availabilityZone === availabilityZone).length);
        for (const service of snapshot.services.keys()) {
            const replicas = replicasOf(service, snapshot, zone, nowMs);
            dispatcher.setReplicas(service, replicas, nowMs);
            metrics.replicas.set({ service, state: "serving" }, replicas.length);
            metrics.queued.set({ service }, dispatcher.queuedOf(service));
            for (const [state, count] of Object.entries(dispatcher.usageOf(service, nowMs))) {
                metrics.places.set({ service, state }, count);
            }
        }
        startQueued();
    };

    const mailbox = startTask<Message>({
        name: "dispatch",
        onBroken: surroundings.onBroken,
        handlers: {
            admit: ({ wanted, reply }) => admit(wanted, reply),
            outgrow: ({ id }) => dispatcher.outgrow(id),
            release: ({ id, account }) => release(id, account),
            abandon: ({ id }) => {
                dispatcher.abandon(id);
                release(id, { kind: "ended" });
            },
            zone: ({ zone }) => takeZone(zone),
            expire: () => {
                for (const id of dispatcher.expire(timer.nowMs())) {
                    known.get(id)?.reply({ kind: "refused", code: "overloaded", retryAfterMs: expiredRetryAfterMs });
                    known.delete(id);
                }
            },
        },
    });
    fleet.feed.subscribe(zone => mailbox.send({ kind: "zone", zone }));
    const cancel = timer.every(expireIntervalMs, () => {
        if (known.size > 0) {
            mailbox.send({ kind: "expire" });
        }
    });
    return {
        admit: wanted => ask<Message, Grant>(mailbox, reply => ({ kind: "admit", wanted, reply })),
        outgrow: id => mailbox.send({ kind: "outgrow", id }),
        release: (id, account = { kind: "ended" }) => mailbox.send({ kind: "release", id, account }),
        abandon: id => mailbox.send({ kind: "abandon", id }),
        stillServing: replica =>
            servesOnFreshEvidence(fleet.feed.latest(), replica, {
                nowMs: timer.nowMs(),
                maxAgeMs: settings.intervals.evidenceMaxAgeMs,
            }),
        stop: () => {
            cancel();
            mailbox.close();
        },
    };
}
