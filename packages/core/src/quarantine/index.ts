/** Quarantine of prompt segments under which upstreams end. */
export { type CrashEvidence, makeCrashEvidence, type OwnCrash } from "./crashEvidence";
export { type Culprit, type CulpritInput, findCulprits, type StandingCrash } from "./findCulprits";
export { containsAll, covers, type Hold, holdsBack } from "./prompt";
export { makeQuarantineBook, type QuarantineBook, type QuarantineEntry } from "./quarantineBook";
export { makeRecentlySound, type RecentlySound } from "./recentlySound";
export {
    type QuarantineContent,
    type QuarantineEvent,
    type QuarantineVerdict,
    SegmentQuarantine,
    type SegmentQuarantineOptions,
} from "./segmentQuarantine";
