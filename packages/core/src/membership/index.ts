/** Peers that one process knows of. No correctness guarantee depends on this view. */
export {
    advanceMembership,
    emptyMembership,
    type Membership,
    type MembershipLimits,
    type MemberState,
    noteHeartbeat,
    noteLinked,
    type PeerMember,
} from "./membership";
export { chooseByRendezvous, type Hash } from "./rendezvous";
export { selectPeers } from "./selectPeers";
export { decodeSnapshot, encodeSnapshot } from "./snapshotCodec";
