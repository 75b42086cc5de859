/**
 * Eviction of old tickets when a new one is accepted. The newest tickets are kept in a ring of slots, indexed by revision.
 * The head row records the evicted ticket's number. Its tombstones can then be deleted, because ticket numbers up to it are
 * refused.
 */
import { subjectKeys, type SubjectRow, Ticket, type TicketRow } from "@rattanquay/schema";

/** The slot that stores the ticket of a revision. */
export const ticketSlotOf = (revision: number, keptTickets: number): number => revision % keptTickets;

/** The subjects that the evicted ticket removed and that the new ticket does not touch. */
export function tombstoneCandidates(evicted: TicketRow, ticket: Ticket): readonly string[] {
    const touched = new Set(subjectKeys(ticket));
    const content = Ticket.safeParse(evicted.content);
    return content.success ? content.data.remove.filter(key => !touched.has(key)) : [];
}

/** Whether a subject's row is a tombstone written by the evicted ticket. */
export function isObsoleteTombstone(row: SubjectRow, evicted: TicketRow): boolean {
    return row.state === undefined && row.ticket === evicted.ticket;
}
