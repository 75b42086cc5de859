/** Communication with the other gateway processes. */
export { type PassedOrder } from "./passOrder";
export { type Peers, type PlanningCandidacy, startPeers } from "./peers";
