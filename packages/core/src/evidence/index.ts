/** Status reports of instances, from own probes and from peers, and whether a group may receive requests based on them. */
export { earliestSendTimeMs, type HeartbeatSendTimes } from "./earliestSending";
export { evaluateGroup, type Evidence, type GroupExclusions, type GroupStatus } from "./evaluateGroup";
export { type EvidenceChangeTracker, makeEvidenceChangeTracker, type ProbeEvidence } from "./evidenceChangeTracker";
export { type EvidenceStore, makeEvidenceStore } from "./evidenceStore";
