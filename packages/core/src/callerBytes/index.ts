/** Decides how much a process holds for its callers, and whom it ends when that is spent. */
export { ByteLedger, type EndReason, type Holding, type LedgerEvents } from "./byteLedger";
export { type CallerLimits, deriveCallerLimits, findLimitFaults, type MachineResources } from "./callerLimits";
export { chooseEviction, type EvictionCandidate } from "./eviction";
