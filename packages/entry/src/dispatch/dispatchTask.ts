/** Owns the dispatcher: requests ask it for a replica and give the place back when they have ended. */

import { ask, type Feed, type Reply, startTask } from "@rattanquay/task";
import { type Configuration } from "../config";
import { type Fleet, type ZoneKnowledge } from "../fleet";
import { type Surroundings } from "../surroundings";
import { servesOnFreshEvidence } from "./freshEvidence";
import { type AttemptAccount, type Grant, type Wanted } from "./grant";
import { makeWaitingRoom } from "./waitingRoom";

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

export function startDispatch(surroundings: Surroundings, configuration: Feed<Configuration>, fleet: Fleet): Dispatch {
    const { settings, timer } = surroundings;
    const room = makeWaitingRoom(surroundings, configuration);
    const mailbox = startTask<Message>({
        name: "dispatch",
        onBroken: surroundings.onBroken,
        handlers: {
            admit: ({ wanted, reply }) => room.admit(wanted, reply),
            outgrow: ({ id }) => room.outgrow(id),
            release: ({ id, account }) => room.release(id, account),
            abandon: ({ id }) => room.abandon(id),
            zone: ({ zone }) => room.takeZone(zone),
            expire: room.expire,
        },
    });
    fleet.feed.subscribe(zone => mailbox.send({ kind: "zone", zone }));
    const cancel = timer.every(expireIntervalMs, () => {
        if (!room.isEmpty()) {
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
