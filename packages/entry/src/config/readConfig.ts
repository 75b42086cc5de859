/** Reads the configuration from the platform's table. */
import { buildSnapshot, type Snapshot, subjectRowsOf, ticketSlotOf } from "@rattanquay/core";
import { HeadRow, SlotRow, SubjectRow, Ticket, TicketRow } from "@rattanquay/schema";
import { type Table } from "@rattanquay/table";
import { configHeadKey, configPartition, ticketKey, ticketSlotKey } from "../rowKeys";
import { defaultKeptTickets } from "../tickets";

const emptyHead: HeadRow = { revision: 0, highestTicket: 0, evictedThrough: 0 };

/** A process that has missed more tickets than this during a list lists the subjects again. */
const maxMissedTickets = 500;
const parallelReads = 16;

/** Reads the configuration's head; resolves to `undefined` when the table does not respond. */
export async function readHead(table: Table): Promise<HeadRow | undefined> {
    const outcome = await table.read(configHeadKey);
    if (outcome.kind !== "done") {
        return undefined;
    }
    return outcome.value === undefined ? emptyHead : HeadRow.parse(outcome.value.body);
}

/**
 * Reads all subjects at one revision: that of the head after the list. A list can take so long that tickets are accepted
 * meanwhile, and shows only some of their subjects; what these tickets set is applied to it in order. Resolves to
 * `undefined` if the table does not respond or these tickets are no longer kept.
 */
export async function readSnapshot(
    table: Table,
    before: HeadRow,
    keptTickets = defaultKeptTickets,
): Promise<Snapshot | undefined> {
    const rows = await table.list(configPartition);
    const after = await readHead(table);
    if (rows.kind !== "done" || after === undefined) {
        return undefined;
    }
    const accepted = await readRowsSet(table, before.revision, after.revision, keptTickets);
    if (accepted === undefined) {
        return undefined;
    }
    const subjects = new Map(
        [...rows.value.map(row => SubjectRow.parse(row.body)), ...accepted].map(
            row => [`${row.kind}/${row.name}`, row],
        ),
    );
    return buildSnapshot(after, [...subjects.values()]);
}

/** Reads what the tickets of the revisions above `from` up to `to` set, in their order. */
async function readRowsSet(
    table: Table,
    from: number,
    to: number,
    keptTickets: number,
): Promise<readonly SubjectRow[] | undefined> {
    if (to < from || to - from > Math.min(maxMissedTickets, keptTickets)) {
        return undefined;
    }
    const revisions = Array.from({ length: to - from }, (unused, index) => from + index + 1);
    const rows: SubjectRow[] = [];
    for (let first = 0; first < revisions.length; first += parallelReads) {
        const batch = revisions.slice(first, first + parallelReads);
        const tickets = await Promise.all(batch.map(revision => readTicketAt(table, revision, keptTickets)));
        for (const row of tickets) {
            const ticket = Ticket.safeParse(row?.content);
            if (row === undefined || !ticket.success) {
                return undefined;
            }
            rows.push(...subjectRowsOf(ticket.data, row.revision));
        }
    }
    return rows;
}

/** Reads the ticket that was accepted as this revision, if it is still kept. */
async function readTicketAt(table: Table, revision: number, keptTickets: number): Promise<TicketRow | undefined> {
    const slot = await table.read(ticketSlotKey(ticketSlotOf(revision, keptTickets)));
    if (slot.kind !== "done" || slot.value === undefined) {
        return undefined;
    }
    const stored = await table.read(ticketKey(SlotRow.parse(slot.value.body).ticket));
    if (stored.kind !== "done" || stored.value === undefined) {
        return undefined;
    }
    const ticket = TicketRow.parse(stored.value.body);
    return ticket.revision === revision ? ticket : undefined;
}
