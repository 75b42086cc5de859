/** Links to the other entry instances: membership, and the exchange of evidence, configuration and groups. */
export { type ObservedPeers, type Peers, startPeers } from "./peersTask";
export { isValidSpillProof, makeSpillProof } from "./spillProof";
