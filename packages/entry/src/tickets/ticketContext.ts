/** Reads the rows that the decision on a ticket needs, and builds the transaction that accepts the ticket. */
import {
    isObsoleteTombstone,
    type TicketContext,
    type TicketDecision,
    ticketSlotOf,
    tombstoneCandidates,
} from "@rattanquay/core";
import {
    HeadRow,
    type KeyedRow,
    SlotRow,
    subjectKeys,
    SubjectRow,
    type Ticket,
    TicketRow,
    unchangedSince,
    type Write,
} from "@rattanquay/schema";
import { type Table, type TableOutcome } from "@rattanquay/table";
import { configHeadKey, subjectKey, ticketKey, ticketSlotKey } from "../rowKeys";

/** The oldest ticket in the ring of kept tickets, which is removed together with the tombstones that only it needed. */
type Eviction = { readonly ticket: KeyedRow; readonly number: number; readonly tombstones: readonly KeyedRow[] };

export type TicketContextRows = {
    readonly context: TicketContext;
    readonly head: KeyedRow | undefined;
    readonly subjects: ReadonlyMap<string, KeyedRow>;
    readonly slot: KeyedRow | undefined;
    readonly evicted: Eviction | undefined;
};

export type AcceptedTicket = Extract<TicketDecision, { readonly kind: "write" }>;

/**
 * Reads the rows that a ticket is judged by. The ticket of the same number is read last, so that a process that sees a
 * subject which this ticket has set also sees the ticket, and does not take the change for another ticket's.
 */
export async function readTicketContext(
    table: Table,
    ticket: Ticket,
    keptTickets: number,
): Promise<TableOutcome<TicketContextRows>> {
    const head = await table.read(configHeadKey);
    const subjects = await readSubjects(table, subjectKeys(ticket));
    if (head.kind !== "done" || subjects.kind !== "done") {
        return head.kind !== "done" ? head : subjects as TableOutcome<never>;
    }
    const headRow = HeadRow.parse(head.value?.body ?? { revision: 0, highestTicket: 0 });
    const slot = await table.read(ticketSlotKey(ticketSlotOf(headRow.revision + 1, keptTickets)));
    if (slot.kind !== "done") {
        return slot;
    }
    const evicted = await readEviction(table, slot.value, ticket);
    const sameNumber = await table.read(ticketKey(ticket.ticket));
    if (evicted.kind !== "done" || sameNumber.kind !== "done") {
        return evicted.kind !== "done" ? evicted : sameNumber as TableOutcome<never>;
    }
    const context: TicketContext = {
        head: headRow,
        sameNumber: sameNumber.value === undefined ? undefined : TicketRow.parse(sameNumber.value.body),
        subjects: new Map([...subjects.value].map(([key, row]) => [key, SubjectRow.parse(row.body)])),
    };
    const rows = { context, head: head.value, subjects: subjects.value, slot: slot.value, evicted: evicted.value };
    return { kind: "done", value: rows };
}

async function readSubjects(
    table: Table,
    keys: readonly string[],
): Promise<TableOutcome<ReadonlyMap<string, KeyedRow>>> {
    const outcomes = await Promise.all(keys.map(key => table.read(subjectKey(key))));
    const failed = outcomes.find(outcome => outcome.kind !== "done");
    if (failed !== undefined) {
        return failed as TableOutcome<never>;
    }
    const found = keys.flatMap((key, index) => {
        const outcome = outcomes[index]!;
        return outcome.kind === "done" && outcome.value !== undefined ? [[key, outcome.value] as const] : [];
    });
    return { kind: "done", value: new Map(found) };
}

async function readEviction(
    table: Table,
    slot: KeyedRow | undefined,
    ticket: Ticket,
): Promise<TableOutcome<Eviction | undefined>> {
    if (slot === undefined) {
        return { kind: "done", value: undefined };
    }
    const { ticket: number } = SlotRow.parse(slot.body);
    const stored = await table.read(ticketKey(number));
    if (stored.kind !== "done" || stored.value === undefined) {
        return stored as TableOutcome<undefined>;
    }
    const evicted = TicketRow.parse(stored.value.body);
    const rows = await readSubjects(table, tombstoneCandidates(evicted, ticket));
    if (rows.kind !== "done") {
        return rows;
    }
    const tombstones = [...rows.value.values()].filter(row => isObsoleteTombstone(SubjectRow.parse(row.body), evicted));
    return { kind: "done", value: { ticket: stored.value, number, tombstones } };
}

/** The writes of the one transaction that accepts a ticket, evicts the oldest kept ticket and updates the head. */
export function acceptanceWrites(
    acceptance: AcceptedTicket,
    rows: TicketContextRows,
    options: { readonly token: string; readonly keptTickets: number },
): readonly Write[] {
    const { token, keptTickets } = options;
    const { revision, ticketRow, subjectRows } = acceptance;
    const { head } = rows.context;
    const put = (at: Write["at"], body: unknown, current: KeyedRow | undefined): Write => ({
        kind: "put",
        at,
        row: { version: (current?.version ?? 0) + 1, token, body },
        condition: unchangedSince(current),
    });
    const newHead: HeadRow = {
        revision,
        highestTicket: Math.max(head.highestTicket, ticketRow.ticket),
        evictedThrough: Math.max(head.evictedThrough, rows.evicted?.number ?? 0),
    };
    const slot: SlotRow = { ticket: ticketRow.ticket };
    const evictedRows = rows.evicted === undefined ? [] : [rows.evicted.ticket, ...rows.evicted.tombstones];
    return [
        put(ticketKey(ticketRow.ticket), ticketRow, undefined),
        put(configHeadKey, newHead, rows.head),
        put(ticketSlotKey(ticketSlotOf(revision, keptTickets)), slot, rows.slot),
        ...subjectRows.map(row => {
            const key = `${row.kind}s/${row.name}`;
            return put(subjectKey(key), row, rows.subjects.get(key));
        }),
        ...evictedRows.map((row): Write => ({
            kind: "remove",
            at: { partition: row.partition, key: row.key },
            condition: unchangedSince(row),
        })),
    ];
}
