/** Accepts tickets in the platform's table, with one transaction each. Lost responses are resolved by reading back. */
import { decideTicket } from "@rattanquay/core";
import { type Ticket, TicketRow, type Verdict } from "@rattanquay/schema";
import { type Table, type TableOutcome } from "@rattanquay/table";
import { randomUUID } from "node:crypto";
import { ticketKey, ticketPartition } from "../rowKeys";
import { digestOf } from "./digest";
import { acceptanceWrites, type AcceptedTicket, readTicketContext } from "./ticketContext";

const maxAttempts = 8;
/** The number of tickets that are kept in the table; older ones are in version control. */
export const defaultKeptTickets = 2_000;

/**
 * Submits a ticket. If the response to the write is lost, the next attempt finds either the ticket's own row or no
 * trace of it. `unavailable` means that the ticket may have been accepted; submitting the same ticket again tells
 * whether it was.
 */
export async function submitTicket(
    table: Table,
    ticket: Ticket,
    onAccepted: (accepted: AcceptedTicket) => void = () => undefined,
    keptTickets = defaultKeptTickets,
): Promise<Verdict> {
    const digest = digestOf(ticket);
    let lastReason = "the table was busy with other tickets";
    for (let attempt = 0; attempt < maxAttempts; attempt++) {
        const rows = await readTicketContext(table, ticket, keptTickets);
        if (rows.kind !== "done") {
            lastReason = rows.kind === "unavailable" ? rows.reason : lastReason;
            continue;
        }
        const acceptance = decideTicket(ticket, digest, rows.value.context);
        if (acceptance.kind === "decided") {
            return acceptance.verdict;
        }
        const token = randomUUID();
        const written = await table.transact(acceptanceWrites(acceptance, rows.value, { token, keptTickets }), token);
        if (written.kind === "done") {
            onAccepted(acceptance);
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

/** Reads all kept tickets by number. */
export async function listTickets(table: Table): Promise<TableOutcome<readonly TicketRow[]>> {
    const outcome = await table.list(ticketPartition);
    return outcome.kind === "done"
        ? { kind: "done", value: outcome.value.map(row => TicketRow.parse(row.body)) }
        : outcome;
}
