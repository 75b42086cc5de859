/** Accepting change tickets. */
export { type Acceptance, decideTicket, type Ground } from "./decideTicket";
export { isSpentTombstone, slotOf, tombstoneCandidates } from "./eviction";
