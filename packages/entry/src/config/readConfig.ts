/** Reads the configuration from the platform's table. */
import { buildSnapshot, type Snapshot } from "@rattanquay/core";
import { HeadRow, SubjectRow } from "@rattanquay/schema";
import { type Table } from "@rattanquay/table";
import { configHeadKey, configPartition } from "../rowKeys";

const emptyHead: HeadRow = { revision: 0, highestTicket: 0, evictedThrough: 0 };

/** Reads the configuration's head; resolves to `undefined` when the table does not respond. */
export async function readHead(table: Table): Promise<HeadRow | undefined> {
    const outcome = await table.read(configHeadKey);
    if (outcome.kind !== "done") {
        return undefined;
    }
    return outcome.value === undefined ? emptyHead : HeadRow.parse(outcome.value.body);
}

/** Reads all subjects between two reads of the head; the result is consistent only if the revision did not change. */
export async function readSnapshot(table: Table, before: HeadRow): Promise<Snapshot | undefined> {
    const rows = await table.list(configPartition);
    const after = await readHead(table);
    if (rows.kind !== "done" || after === undefined || after.revision !== before.revision) {
        return undefined;
    }
    return buildSnapshot(after, rows.value.map(row => SubjectRow.parse(row.body)));
}
