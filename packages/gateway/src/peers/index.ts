/** Communication with the other gateway processes. */
export { type PassedOrder } from "./passOrder";
export { type Peers, startPeers } from "./peers";
