/** Accepting tickets in the platform's table: one transaction each, lost answers settled by reading back. */
import { decideTicket, type Ground } from "@rattanquay/core";
import { type Stored, type Table, type TableOutcome, type Write } from "@rattanquay/platform";
import { HeadRow, subjectKeys, SubjectRow, type Ticket, TicketRow, type Verdict } from "@rattanquay/schema";
import { randomUUID } from "node:crypto";
import { headKey, subjectKey, ticketKey, ticketPartition } from "../rowKeys";
import { digestOf } from "./digest";

const maxRounds = 8;

type GroundRows = {
    readonly ground: Ground;
    readonly head: Stored | undefined;
    readonly subjects: ReadonlyMap<string, Stored>;
};

/** Submits a ticket. `unavailable` leaves it open whether it was accepted; submitting the same ticket again settles that. */
export async function submitTicket(table: Table, ticket: Ticket): Promise<Verdict> {
    const digest = digestOf(ticket);
    let lastReason = "the table was busy with other tickets";
    for (let round = 0; round < maxRounds; round++) {
        const rows = await readGround(table, ticket);
        if (rows.kind !== "done") {
            lastReason = rows.kind === "unavailable" ? rows.reason : lastReason;
            continue;
        }
        const acceptance = decideTicket(ticket, digest, rows.value.ground);
        if (acceptance.kind === "decided") {
            return acceptance.verdict;
        }
        const written = await table.transact(writesOf(acceptance, rows.value), randomUUID());
        if (written.kind === "done") {
            return { kind: "accepted", ticket: ticket.ticket, revision: acceptance.revision };
        }
        lastReason = written.kind === "unavailable" ? written.reason : lastReason;
    }
    const message =
        `The platform's table does not answer (${lastReason}). Submit the same ticket again: its verdict will be the same.`;
    return { kind: "unavailable", ticket: ticket.ticket, message };
}

/** Reads one accepted ticket. */
export async function readTicket(table: Table, ticket: number): Promise<TableOutcome<TicketRow | undefined>> {
    const outcome = await table.read(ticketKey(ticket));
    if (outcome.kind !== "done") {
        return outcome;
    }
    return { kind: "done", value: outcome.value === undefined ? undefined : TicketRow.parse(outcome.value.body) };
}

/** Reads all accepted tickets by number. */
export async function listTickets(table: Table): Promise<TableOutcome<readonly TicketRow[]>> {
    const outcome = await table.list(ticketPartition);
    return outcome.kind === "done"
        ? { kind: "done", value: outcome.value.map(row => TicketRow.parse(row.body)) }
        : outcome;
}

async function readGround(table: Table, ticket: Ticket): Promise<TableOutcome<GroundRows>> {
    const keys = subjectKeys(ticket);
    const head = await table.read(headKey);
    const sameNumber = await table.read(ticketKey(ticket.ticket));
    const subjects = await Promise.all(keys.map(key => table.read(subjectKey(key))));
    const failed = [head, sameNumber, ...subjects].find(outcome => outcome.kind !== "done");
    if (head.kind !== "done" || sameNumber.kind !== "done" || failed !== undefined) {
        return failed as TableOutcome<never>;
    }
    const stored = new Map(keys.flatMap((key, index) => {
        const outcome = subjects[index]!;
        return outcome.kind === "done" && outcome.value !== undefined ? [[key, outcome.value] as const] : [];
    }));
    const ground: Ground = {
        head: head.value === undefined ? { revision: 0, highestTicket: 0 } : HeadRow.parse(head.value.body),
        sameNumber: sameNumber.value === undefined ? undefined : TicketRow.parse(sameNumber.value.body),
        subjects: new Map([...stored].map(([key, row]) => [key, SubjectRow.parse(row.body)])),
    };
    return { kind: "done", value: { ground, head: head.value, subjects: stored } };
}

type Accepted = Extract<ReturnType<typeof decideTicket>, { readonly kind: "write" }>;

function writesOf(acceptance: Accepted, rows: GroundRows): readonly Write[] {
    const token = randomUUID();
    const { revision, ticketRow, subjectRows } = acceptance;
    const highestTicket = Math.max(rows.ground.head.highestTicket, ticketRow.ticket);
    return [
        {
            kind: "put",
            at: ticketKey(ticketRow.ticket),
            row: { version: revision, token, body: ticketRow },
            condition: { kind: "absent" },
        },
        {
            kind: "put",
            at: headKey,
            row: { version: revision, token, body: { revision, highestTicket } },
            condition: unchanged(rows.head),
        },
        ...subjectRows.map((row): Write => {
            const key = `${row.kind}s/${row.name}`;
            return {
                kind: "put",
                at: subjectKey(key),
                row: { version: revision, token, body: row },
                condition: unchanged(rows.subjects.get(key)),
            };
        }),
    ];
}

function unchanged(row: Stored | undefined): NonNullable<Extract<Write, { kind: "put" }>["condition"]> {
    return row === undefined ? { kind: "absent" } : { kind: "versionIs", version: row.version };
}
