/** Peers that one process knows of. No correctness guarantee depends on this view. */
export {
    type Membership,
    type MembershipLimits,
    type MemberState,
    noMembers,
    noteHeartbeat,
    noteLinked,
    type PeerMember,
    tickMembership,
} from "./membership";
export { passSnapshot, takePassedSnapshot } from "./passSnapshot";
export { peerTargets } from "./peerTargets";
export { chooseByRendezvous, type Hash } from "./rendezvous";
