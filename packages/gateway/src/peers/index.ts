/** Communication with the other gateway processes. */
export { type PassedOrder, type Peers, startPeers } from "./peers";
