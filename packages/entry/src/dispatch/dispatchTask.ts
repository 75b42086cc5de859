/** Owns the dispatcher: requests ask it for a replica and give the place back when they have ended. */
import { type Job, makeDispatcher, type Replica, type Snapshot } from "@rattanquay/core";
import { ask, type Feed, type Reply, startTask } from "@rattanquay/task";
import { type Configuration } from "../config";
import { type Fleet, type ZoneKnowledge } from "../fleet";
import { type Surroundings } from "../surroundings";
import { servesOnFreshEvidence } from "./freshEvidence";

/** What a request is told when it asks for a replica. */
export type Grant =
    | { readonly kind: "started"; readonly replica: Replica }
    | { readonly kind: "refused"; readonly code: "noReplica" | "overloaded"; readonly retryAfterMs: number };

type Message =
    | { readonly kind: "admit"; readonly job: Job; readonly reply: Reply<Grant> }
    | { readonly kind: "release"; readonly id: string }
    | { readonly kind: "abandon"; readonly id: string }
    | { readonly kind: "zone"; readonly zone: ZoneKnowledge }
    | { readonly kind: "expire" };

export type Dispatch = {
    /** Resolves when the job has a replica or can have none in time. */
    readonly admit: (job: Job) => Promise<Grant>;
    /** Gives the job's place back. */
    readonly release: (id: string) => void;
    /** Takes back a job that may still wait, since nobody wants its answer any more. */
    readonly abandon: (id: string) => void;
    /** Whether this replica may still be given work, on evidence that is fresh now. */
    readonly stillServing: (replica: string) => boolean;
    readonly stop: () => void;
};

const expireIntervalMs = 20;
const expiredRetryAfterMs = 1_000;

export function startDispatch(surroundings: Surroundings, configuration: Feed<Configuration>, fleet: Fleet): Dispatch {
    const { settings, timer, random, metrics } = surroundings;
    const { routing, admission } = settings.policy;
    const dispatcher = makeDispatcher({ availabilityZone: settings.process.availabilityZone, routing, admission });
    const waiting = new Map<string, Reply<Grant>>();

    const startQueued = (): void => {
        for (const { id, replica } of dispatcher.startQueued(timer.nowMs(), random)) {
            waiting.get(id)?.({ kind: "started", replica });
            waiting.delete(id);
        }
    };

    const mailbox = startTask<Message>({
        name: "dispatch",
        onBroken: surroundings.onBroken,
        handlers: {
            admit: ({ job, reply }) => {
                const submission = dispatcher.submit(job, timer.nowMs(), random);
                if (submission.kind === "queued") {
                    waiting.set(job.id, reply);
                    return;
                }
                reply(submission);
            },
            release: ({ id }) => {
                dispatcher.release(id);
                startQueued();
            },
            abandon: ({ id }) => {
                dispatcher.abandon(id);
                dispatcher.release(id);
                waiting.delete(id);
                startQueued();
            },
            zone: ({ zone }) => {
                const { snapshot } = configuration.latest();
                for (const service of snapshot.services.keys()) {
                    const replicas = replicasOf(service, snapshot, zone, timer.nowMs());
                    dispatcher.setReplicas(service, replicas);
                    metrics.replicas.set({ service, state: "serving" }, replicas.length);
                    metrics.queued.set({ service }, dispatcher.queuedOf(service));
                }
                startQueued();
            },
            expire: () => {
                for (const id of dispatcher.expire(timer.nowMs())) {
                    waiting.get(id)?.({ kind: "refused", code: "overloaded", retryAfterMs: expiredRetryAfterMs });
                    waiting.delete(id);
                }
            },
        },
    });
    fleet.feed.subscribe(zone => mailbox.send({ kind: "zone", zone }));
    const cancel = timer.every(expireIntervalMs, () => {
        if (waiting.size > 0) {
            mailbox.send({ kind: "expire" });
        }
    });
    return {
        admit: job => ask<Message, Grant>(mailbox, reply => ({ kind: "admit", job, reply })),
        release: id => mailbox.send({ kind: "release", id }),
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

function replicasOf(service: string, snapshot: Snapshot, zone: ZoneKnowledge, nowMs: number): readonly Replica[] {
    const declared = snapshot.services.get(service);
    if (declared === undefined) {
        return [];
    }
    if (declared.kind === "plain") {
        return declared.upstreams.map(({ address, availabilityZone }) => ({
            replica: address,
            address,
            availabilityZone,
            fence: 0,
            concurrency: declared.concurrency,
        }));
    }
    return zone.groups
        .filter(group => group.service === service && zone.standings.get(group.group)?.kind === "serving")
        .map(group => {
            const evidence = zone.evidence.get(group.members[0]!.instance);
            const load = evidence?.info.load;
            return {
                replica: group.group,
                address: group.members[0]!.address,
                availabilityZone: group.availabilityZone,
                fence: group.fence,
                concurrency: declared.concurrency,
                ...(load === undefined
                    ? {}
                    : { reported: { ...load, ageMs: load.ageMs + nowMs - evidence!.sentAtMs } }),
            };
        });
}
