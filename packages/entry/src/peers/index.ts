/** The other entry instances: who they are, what they know, and what they are told. */
export { type Peers, type PeersKnowledge, startPeers } from "./peersTask";
export { isProvedSpill, proofOfSpill } from "./spillProof";
