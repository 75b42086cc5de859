/** Owns the dispatcher: requests ask this task for a replica and release it when they have ended. */

import { ask, type ObservableValue, type Reply, startTask } from "@rattanquay/task";
import { type Configuration } from "../config";
import { type Fleet, type ObservedZone } from "../fleet";
import { type ProcessContext } from "../processContext";
import { makeAdmissionQueue } from "./admissionQueue";
import { servesOnFreshEvidence } from "./freshEvidence";
import { type AdmissionDecision, type AttemptReport, type ReplicaRequest } from "./replicaRequest";

type Message =
    | { readonly kind: "admit"; readonly request: ReplicaRequest; readonly reply: Reply<AdmissionDecision> }
    | { readonly kind: "markLong"; readonly id: string }
    | { readonly kind: "release"; readonly id: string; readonly report: AttemptReport }
    | { readonly kind: "abandon"; readonly id: string }
    | { readonly kind: "zone"; readonly zone: ObservedZone }
    | { readonly kind: "expire" };

export type Dispatch = {
    /** Resolves when the request has a replica or cannot get one in time. */
    readonly admit: (request: ReplicaRequest) => Promise<AdmissionDecision>;
    /** Counts a running request as long work from now on. */
    readonly markLong: (id: string) => void;
    /** Ends the request's use of its replica, so that another request may start. */
    readonly release: (id: string, report?: AttemptReport) => void;
    /** Removes a request whose caller has gone, whether it is queued or running. */
    readonly abandon: (id: string) => void;
    /** Whether the replica may still be given work, according to health evidence that is recent enough now. */
    readonly isServing: (replica: string) => boolean;
    readonly stop: () => void;
};

const expireIntervalMs = 20;

export function startDispatch(
    processContext: ProcessContext,
    configuration: ObservableValue<Configuration>,
    fleet: Fleet,
): Dispatch {
    const { settings, timer } = processContext;
    const queue = makeAdmissionQueue(processContext, configuration);
    const mailbox = startTask<Message>({
        name: "dispatch",
        onFatalError: processContext.onFatalError,
        handlers: {
            admit: ({ request, reply }) => queue.admit(request, reply),
            markLong: ({ id }) => queue.markLong(id),
            release: ({ id, report }) => queue.release(id, report),
            abandon: ({ id }) => queue.abandon(id),
            zone: ({ zone }) => queue.updateZone(zone),
            expire: queue.expire,
        },
    });
    fleet.feed.subscribe(zone => mailbox.send({ kind: "zone", zone }));
    const cancel = timer.every(expireIntervalMs, () => {
        if (!queue.isEmpty()) {
            mailbox.send({ kind: "expire" });
        }
    });
    return {
        admit: request => ask<Message, AdmissionDecision>(mailbox, reply => ({ kind: "admit", request, reply })),
        markLong: id => mailbox.send({ kind: "markLong", id }),
        release: (id, report = { kind: "ended" }) => mailbox.send({ kind: "release", id, report }),
        abandon: id => mailbox.send({ kind: "abandon", id }),
        isServing: replica =>
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
