/** What must be read before a ticket can be judged, and the transaction that accepts it. */
import { type Acceptance, type Ground, isSpentTombstone, slotOf, tombstoneCandidates } from "@rattanquay/core";
import {
    HeadRow,
    SlotRow,
    type Stored,
    subjectKeys,
    SubjectRow,
    type Ticket,
    TicketRow,
    unchanged,
    type Write,
} from "@rattanquay/schema";
import { type Table, type TableOutcome } from "@rattanquay/table";
import { headKey, slotKey, subjectKey, ticketKey } from "../rowKeys";

/** The ticket that falls out of the ring of kept ones, with the tombstones that go with it. */
type Eviction = { readonly ticket: Stored; readonly number: number; readonly tombstones: readonly Stored[] };

export type GroundRows = {
    readonly ground: Ground;
    readonly head: Stored | undefined;
    readonly subjects: ReadonlyMap<string, Stored>;
    readonly slot: Stored | undefined;
    readonly evicted: Eviction | undefined;
};

export type Accepted = Extract<Acceptance, { readonly kind: "write" }>;

/**
 * Reads what a ticket is judged by. The ticket of the same number is read last: whoever sees a subject that it set sees
 * the ticket too, and takes no ticket of its own for another's.
 */
export async function readGround(table: Table, ticket: Ticket, keptTickets: number): Promise<TableOutcome<GroundRows>> {
    const head = await table.read(headKey);
    const subjects = await readSubjects(table, subjectKeys(ticket));
    if (head.kind !== "done" || subjects.kind !== "done") {
        return head.kind !== "done" ? head : subjects as TableOutcome<never>;
    }
    const headRow = HeadRow.parse(head.value?.body ?? { revision: 0, highestTicket: 0 });
    const slot = await table.read(slotKey(slotOf(headRow.revision + 1, keptTickets)));
    if (slot.kind !== "done") {
        return slot;
    }
    const evicted = await readEviction(table, slot.value, ticket);
    const same = await table.read(ticketKey(ticket.ticket));
    if (evicted.kind !== "done" || same.kind !== "done") {
        return evicted.kind !== "done" ? evicted : same as TableOutcome<never>;
    }
    const ground: Ground = {
        head: headRow,
        sameNumber: same.value === undefined ? undefined : TicketRow.parse(same.value.body),
        subjects: new Map([...subjects.value].map(([key, row]) => [key, SubjectRow.parse(row.body)])),
    };
    const rows = { ground, head: head.value, subjects: subjects.value, slot: slot.value, evicted: evicted.value };
    return { kind: "done", value: rows };
}

async function readSubjects(
    table: Table,
    keys: readonly string[],
): Promise<TableOutcome<ReadonlyMap<string, Stored>>> {
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
    slot: Stored | undefined,
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
    const tombstones = [...rows.value.values()].filter(row => isSpentTombstone(SubjectRow.parse(row.body), evicted));
    return { kind: "done", value: { ticket: stored.value, number, tombstones } };
}

/** The one transaction that accepts a ticket, keeps the ring of tickets bounded and moves the head. */
export function acceptanceWrites(
    acceptance: Accepted,
    rows: GroundRows,
    options: { readonly token: string; readonly keptTickets: number },
): readonly Write[] {
    const { token, keptTickets } = options;
    const { revision, ticketRow, subjectRows } = acceptance;
    const { head } = rows.ground;
    const put = (at: Write["at"], body: unknown, before: Stored | undefined): Write => ({
        kind: "put",
        at,
        row: { version: (before?.version ?? 0) + 1, token, body },
        condition: unchanged(before),
    });
    const newHead: HeadRow = {
        revision,
        highestTicket: Math.max(head.highestTicket, ticketRow.ticket),
        evictedThrough: Math.max(head.evictedThrough, rows.evicted?.number ?? 0),
    };
    const slot: SlotRow = { ticket: ticketRow.ticket };
    const spent = rows.evicted === undefined ? [] : [rows.evicted.ticket, ...rows.evicted.tombstones];
    return [
        put(ticketKey(ticketRow.ticket), ticketRow, undefined),
        put(headKey, newHead, rows.head),
        put(slotKey(slotOf(revision, keptTickets)), slot, rows.slot),
        ...subjectRows.map(row => {
            const key = `${row.kind}s/${row.name}`;
            return put(subjectKey(key), row, rows.subjects.get(key));
        }),
        ...spent.map((row): Write => ({
            kind: "remove",
            at: { partition: row.partition, key: row.key },
            condition: unchanged(row),
        })),
    ];
}
