/** Follows the configuration's head in the platform's table and publishes each newer snapshot. */
import { emptySnapshot, foldRows, newerSnapshot, type Snapshot } from "@rattanquay/core";
import { HeadRow, SubjectRow } from "@rattanquay/schema";
import { type Feed, makeSource, startTask } from "@rattanquay/task";
import { configPartition, headKey } from "../rowKeys";
import { type Surroundings } from "../surroundings";

type Message = { readonly kind: "poll" };

/** The configuration as this process knows it; `known` says whether it was ever read. */
export type Configuration = { readonly known: boolean; readonly snapshot: Snapshot; readonly confirmedAtMs: number };

type Head = { readonly revision: number; readonly highestTicket: number };

const emptyHead: Head = { revision: 0, highestTicket: 0 };

export function startConfig(
    surroundings: Surroundings,
): { readonly feed: Feed<Configuration>; readonly stop: () => void } {
    const { settings, timer, log, metrics } = surroundings;
    const source = makeSource<Configuration>({ known: false, snapshot: emptySnapshot, confirmedAtMs: 0 });

    const take = (heard: Snapshot): void => {
        const { known, snapshot } = source.latest();
        const newer = newerSnapshot(snapshot, heard);
        if (newer !== snapshot || !known) {
            log.info("configInForce", { revision: newer.revision, highestTicket: newer.highestTicket });
            metrics.configRevision.set(newer.revision);
        }
        source.publish({ known: true, snapshot: newer, confirmedAtMs: timer.nowMs() });
    };

    const poll = async (): Promise<void> => {
        const head = await readHead(surroundings);
        if (head === undefined) {
            metrics.platformErrors.inc({ call: "readHead" });
            return;
        }
        if (source.latest().known && head.revision <= source.latest().snapshot.revision) {
            take(source.latest().snapshot);
            return;
        }
        const snapshot = await readSnapshot(surroundings, head);
        if (snapshot !== undefined) {
            take(snapshot);
        }
    };

    const mailbox = startTask<Message>({ name: "config", handlers: { poll }, onBroken: surroundings.onBroken });
    mailbox.send({ kind: "poll" });
    const cancel = timer.every(settings.intervals.configPollMs, () => mailbox.sendIfIdle({ kind: "poll" }));
    return {
        feed: source,
        stop: () => {
            cancel();
            mailbox.close();
        },
    };
}

async function readHead({ table }: Surroundings): Promise<Head | undefined> {
    const outcome = await table.read(headKey);
    if (outcome.kind !== "done") {
        return undefined;
    }
    return outcome.value === undefined ? emptyHead : HeadRow.parse(outcome.value.body);
}

/** Reads all subjects between two reads of the head; only when the head stood still is the read consistent. */
async function readSnapshot(surroundings: Surroundings, before: Head): Promise<Snapshot | undefined> {
    const rows = await surroundings.table.list(configPartition);
    const after = await readHead(surroundings);
    if (rows.kind !== "done" || after === undefined || after.revision !== before.revision) {
        return undefined;
    }
    return foldRows(after, rows.value.map(row => SubjectRow.parse(row.body)));
}
