/** Which peers there are, as far as one process can tell. No promise rests on it. */
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
