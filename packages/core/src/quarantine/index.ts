/** Quarantine of prompt segments under which upstreams end. */
export { type CrashEvidence, makeCrashEvidence, type OwnCrash } from "./crashEvidence";
export { containsAll, type Culprit, type CulpritInput, findCulprits, type StandingCrash } from "./findCulprits";
export { makeQuarantineBook, type QuarantineBook, type QuarantineEntry } from "./quarantineBook";
export { makeRecentlySound, type RecentlySound } from "./recentlySound";
export {
    type QuarantineContent,
    type QuarantineEvent,
    type QuarantineVerdict,
    SegmentQuarantine,
    type SegmentQuarantineOptions,
} from "./segmentQuarantine";
