/** From where an entry instance learns the cluster state. */
export { makePeerClocks, type PeerClocks } from "./peerClocks";
export { makeStateSource, type RelayCandidate, type RelayNotice, relaysPerZone, type StateSource } from "./stateSource";
