/** Acceptance of change tickets and eviction of old ones. */
export { type Acceptance, decideTicket, type Ground } from "./decideTicket";
export { isSpentTombstone, slotOf, tombstoneCandidates } from "./eviction";
