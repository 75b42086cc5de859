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
    /** When the table was last asked, of the questions that it has answered. */
    readonly confirmedAtMs: number;
    /** When this process got the snapshot. */
    readonly inForceSinceMs: number;
};

export type ConfigTask = {
    readonly feed: ObservableValue<Configuration>;
    /** Resolves when the table has been read again, or after a short time. Asks it if no read has begun lately. */
    readonly confirm: () => Promise<void>;
    /** Applies a snapshot from a peer immediately if it is newer, even while a poll waits for the table. */
    readonly applyPeerSnapshot: (snapshot: Snapshot) => void;
    /** Applies a ticket that this process has just accepted, without waiting for the next read of the table. */
    readonly applyAccepted: (accepted: AcceptedTicket) => void;
    readonly stop: () => void;
};

/** How long a request waits for the table at most. */
const confirmWaitMs = 400;
/** Requests with wrong keys cause no more reads than this allows. */
const confirmEveryMs = 1_000;

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
    let askedAtMs = -Infinity;
    const waiting = new Set<() => void>();

    /** `confirmedByTableAtMs` is when the table was asked; undefined for what comes from a peer. */
    const publishNewer = (received: Snapshot, confirmedByTableAtMs: number | undefined): void => {
        const { isKnown, confirmedByTable, snapshot, confirmedAtMs, inForceSinceMs } = source.latest();
        const newer = newerSnapshot(snapshot, received);
        const isNew = newer !== snapshot || !isKnown;
        if (isNew) {
            log.info("configInForce", { revision: newer.revision, highestTicket: newer.highestTicket });
            metrics.configRevision.set(newer.revision);
        }
        source.publish({
            isKnown: true,
            confirmedByTable: confirmedByTable || confirmedByTableAtMs !== undefined,
            snapshot: newer,
            confirmedAtMs: Math.max(confirmedAtMs, confirmedByTableAtMs ?? confirmedAtMs),
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

    const readTable = async (): Promise<void> => {
        const head = await readHead(processContext.table);
        if (head === undefined) {
            metrics.platformErrors.inc({ call: "readHead" });
            tableWasDown = true;
            return;
        }
        await delayAfterOutage();
        if (source.latest().isKnown && head.revision <= source.latest().snapshot.revision) {
            publishNewer(source.latest().snapshot, askedAtMs);
            return;
        }
        const snapshot = await readSnapshot(processContext.table, head);
        if (snapshot !== undefined) {
            publishNewer(snapshot, askedAtMs);
        }
    };
    const poll = async (): Promise<void> => {
        askedAtMs = timer.nowMs();
        await readTable();
        waiting.forEach(end => end());
    };
    const waitForPoll = (): Promise<void> =>
        new Promise(resolve => {
            const end = (): void => {
                cancel();
                waiting.delete(end);
                resolve();
            };
            const cancel = timer.after(confirmWaitMs, end);
            waiting.add(end);
        });

    const mailbox = startTask<Message>({
        name: "config",
        handlers: { poll },
        onFatalError: processContext.onFatalError,
    });
    mailbox.send({ kind: "poll" });
    const cancel = timer.every(settings.intervals.configPollMs, () => mailbox.sendIfIdle({ kind: "poll" }));
    return {
        feed: source,
        confirm: () => {
            if (timer.nowMs() - askedAtMs >= confirmEveryMs) {
                mailbox.sendIfIdle({ kind: "poll" });
            }
            return waitForPoll();
        },
        applyPeerSnapshot: snapshot => publishNewer(snapshot, undefined),
        applyAccepted: ({ revision, ticketRow, subjectRows }) => {
            const { isKnown, snapshot } = source.latest();
            if (isKnown) {
                // The answer to the write may be late: only a read confirms that there is nothing newer.
                const accepted = applyRows(snapshot, { revision, ticket: ticketRow.ticket, rows: subjectRows });
                publishNewer(accepted, undefined);
            }
        },
        stop: () => {
            cancel();
            mailbox.close();
        },
    };
}
