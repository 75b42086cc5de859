/** Acceptance of change tickets and eviction of old ones. */
export { decideTicket, type TicketContext, type TicketDecision } from "./decideTicket";
export { isObsoleteTombstone, ticketSlotOf, tombstoneCandidates } from "./eviction";
