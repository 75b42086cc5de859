/** Acceptance of change tickets and eviction of old ones. */
export { decideTicket, subjectRowsOf, type TicketContext, type TicketDecision } from "./decideTicket";
export { isObsoleteTombstone, ticketSlotOf, tombstoneCandidates } from "./eviction";
