/** Follows the configuration's head in the platform's table, hears of it from peers, and publishes what is newer. */
import { applyRows, emptySnapshot, newerSnapshot, type Snapshot } from "@rattanquay/core";
import { type Feed, makeSource, startTask } from "@rattanquay/task";
import { sleep } from "@rattanquay/timer";
import { type Surroundings } from "../surroundings";
import { type Accepted } from "../tickets";
import { readHead, readSnapshot } from "./readConfig";

type Message = { readonly kind: "poll" };

/** The configuration as this process knows it; `known` says whether it was ever read or heard. */
export type Configuration = {
    readonly known: boolean;
    /** Whether the table itself has ever told it to this process. */
    readonly fromTable: boolean;
    readonly snapshot: Snapshot;
    readonly confirmedAtMs: number;
};

export type Config = {
    readonly feed: Feed<Configuration>;
    /** Takes a snapshot from a peer at once, also while a poll waits for the table; it counts only where it is newer. */
    readonly hear: (snapshot: Snapshot) => void;
    /** Puts a ticket in force that this process has just accepted, whether the table answers next or not. */
    readonly applyAccepted: (accepted: Accepted) => void;
    readonly stop: () => void;
};

export function startConfig(surroundings: Surroundings): Config {
    const { settings, timer, log, metrics, random } = surroundings;
    const source = makeSource<Configuration>({
        known: false,
        fromTable: false,
        snapshot: emptySnapshot,
        confirmedAtMs: 0,
    });
    let wasDown = false;

    const take = (heard: Snapshot, isFromTable: boolean): void => {
        const { known, fromTable, snapshot, confirmedAtMs } = source.latest();
        const newer = newerSnapshot(snapshot, heard);
        if (newer !== snapshot || !known) {
            log.info("configInForce", { revision: newer.revision, highestTicket: newer.highestTicket });
            metrics.configRevision.set(newer.revision);
        }
        source.publish({
            known: true,
            fromTable: fromTable || isFromTable,
            snapshot: newer,
            confirmedAtMs: isFromTable ? timer.nowMs() : confirmedAtMs,
        });
    };

    /** After an outage everyone would read at once: each waits its own while, in which a peer may tell it the news. */
    const waitAfterOutage = async (): Promise<void> => {
        if (wasDown) {
            wasDown = false;
            await sleep(timer, random() * settings.intervals.configPollMs);
        }
    };

    const poll = async (): Promise<void> => {
        const head = await readHead(surroundings.table);
        if (head === undefined) {
            metrics.platformErrors.inc({ call: "readHead" });
            wasDown = true;
            return;
        }
        await waitAfterOutage();
        if (source.latest().known && head.revision <= source.latest().snapshot.revision) {
            take(source.latest().snapshot, true);
            return;
        }
        const snapshot = await readSnapshot(surroundings.table, head);
        if (snapshot !== undefined) {
            take(snapshot, true);
        }
    };

    const mailbox = startTask<Message>({ name: "config", handlers: { poll }, onBroken: surroundings.onBroken });
    mailbox.send({ kind: "poll" });
    const cancel = timer.every(settings.intervals.configPollMs, () => mailbox.sendIfIdle({ kind: "poll" }));
    return {
        feed: source,
        hear: snapshot => take(snapshot, false),
        applyAccepted: ({ revision, ticketRow, subjectRows }) => {
            const { known, snapshot } = source.latest();
            if (known) {
                take(applyRows(snapshot, { revision, ticket: ticketRow.ticket, rows: subjectRows }), true);
            }
        },
        stop: () => {
            cancel();
            mailbox.close();
        },
    };
}
