/** Polls the configuration's head in the platform's table, receives snapshots from peers, and publishes the newest. */
import { applyRows, emptySnapshot, newerSnapshot, type Snapshot } from "@rattanquay/core";
import { makeValuePublisher, type ObservableValue, startTask } from "@rattanquay/task";
import { sleep } from "@rattanquay/timer";
import { type ProcessContext } from "../processContext";
import { type AcceptedTicket } from "../tickets";
import { readHead, readSnapshot } from "./readConfig";

type Message = { readonly kind: "poll" };

/** The configuration as this process knows it; `known` says whether the table or a peer has ever supplied it. */
export type Configuration = {
    readonly isKnown: boolean;
    /** Whether this process has ever confirmed it with the table itself. */
    readonly confirmedByTable: boolean;
    readonly snapshot: Snapshot;
    readonly confirmedAtMs: number;
    /** When this process got the snapshot. */
    readonly inForceSinceMs: number;
};

export type ConfigTask = {
    readonly feed: ObservableValue<Configuration>;
    /** Applies a snapshot from a peer immediately if it is newer, even while a poll waits for the table. */
    readonly applyPeerSnapshot: (snapshot: Snapshot) => void;
    /** Applies a ticket that this process has just accepted, without waiting for the next read of the table. */
    readonly applyAccepted: (accepted: AcceptedTicket) => void;
    readonly stop: () => void;
};

export function startConfig(processContext: ProcessContext): ConfigTask {
    const { settings, timer, log, metrics, random } = processContext;
    const source = makeValuePublisher<Configuration>({
        isKnown: false,
        confirmedByTable: false,
        snapshot: emptySnapshot,
        confirmedAtMs: 0,
        inForceSinceMs: 0,
    });
    let tableWasDown = false;

    const publishNewer = (received: Snapshot, isFromTable: boolean): void => {
        const { isKnown, confirmedByTable, snapshot, confirmedAtMs, inForceSinceMs } = source.latest();
        const newer = newerSnapshot(snapshot, received);
        const isNew = newer !== snapshot || !isKnown;
        if (isNew) {
            log.info("configInForce", { revision: newer.revision, highestTicket: newer.highestTicket });
            metrics.configRevision.set(newer.revision);
        }
        source.publish({
            isKnown: true,
            confirmedByTable: confirmedByTable || isFromTable,
            snapshot: newer,
            confirmedAtMs: isFromTable ? timer.nowMs() : confirmedAtMs,
            inForceSinceMs: isNew ? timer.nowMs() : inForceSinceMs,
        });
    };

    /**
     * Waits a random time after an outage, because otherwise all processes would read the table at once. Meanwhile a
     * peer may send the new configuration.
     */
    const delayAfterOutage = async (): Promise<void> => {
        if (tableWasDown) {
            tableWasDown = false;
            await sleep(timer, random() * settings.intervals.configPollMs);
        }
    };

    const poll = async (): Promise<void> => {
        const head = await readHead(processContext.table);
        if (head === undefined) {
            metrics.platformErrors.inc({ call: "readHead" });
            tableWasDown = true;
            return;
        }
        await delayAfterOutage();
        if (source.latest().isKnown && head.revision <= source.latest().snapshot.revision) {
            publishNewer(source.latest().snapshot, true);
            return;
        }
        const snapshot = await readSnapshot(processContext.table, head);
        if (snapshot !== undefined) {
            publishNewer(snapshot, true);
        }
    };

    const mailbox = startTask<Message>({
        name: "config",
        handlers: { poll },
        onFatalError: processContext.onFatalError,
    });
    mailbox.send({ kind: "poll" });
    const cancel = timer.every(settings.intervals.configPollMs, () => mailbox.sendIfIdle({ kind: "poll" }));
    return {
        feed: source,
        applyPeerSnapshot: snapshot => publishNewer(snapshot, false),
        applyAccepted: ({ revision, ticketRow, subjectRows }) => {
            const { isKnown, snapshot } = source.latest();
            if (isKnown) {
                publishNewer(applyRows(snapshot, { revision, ticket: ticketRow.ticket, rows: subjectRows }), true);
            }
        },
        stop: () => {
            cancel();
            mailbox.close();
        },
    };
}
