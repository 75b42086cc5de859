/**
 * What an acceptance clears away. The newest tickets are kept, in a ring of slots by revision; the ticket that falls out
 * is named in the head as no longer kept, and tombstones that it left are needed no more: numbers up to it are refused.
 */
import { subjectKeys, type SubjectRow, Ticket, type TicketRow } from "@rattanquay/schema";

/** The slot that the ticket of a revision goes into. */
export const slotOf = (revision: number, keptTickets: number): number => revision % keptTickets;

/** The subjects that the evicted ticket removed, and that the new ticket does not touch itself. */
export function tombstoneCandidates(evicted: TicketRow, ticket: Ticket): readonly string[] {
    const touched = new Set(subjectKeys(ticket));
    const content = Ticket.safeParse(evicted.content);
    return content.success ? content.data.remove.filter(key => !touched.has(key)) : [];
}

/** Whether a subject's row is a tombstone that only the evicted ticket needed. */
export function isSpentTombstone(row: SubjectRow, evicted: TicketRow): boolean {
    return row.state === undefined && row.ticket === evicted.ticket;
}
