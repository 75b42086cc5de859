/** Decisions about one request (route, upstream, retries), and the lease on planning for all instances. */
export { type AdmissionHistory, makeAdmissionHistory } from "./admissionHistory";
export {
    type AdmissionDecision,
    type AdmissionInput,
    decideAdmission,
    isExpectedOnTime,
    isNeglectedKind,
    leadOverMoreUrgent,
    longestRetryAfterMs,
    patienceMs,
    type PriorityFacts,
    priorityOf,
    type RefusalRuleName,
    refusalRules,
    utilityOf,
} from "./admissionPolicy";
export { type AllowedRegions, intersectRegions, mayReachZone } from "./allowedRegions";
export { type AnnouncedState, makeAnnouncedState } from "./announcedState";
export { type AnswerFaults, makeAnswerFaults } from "./answerFaults";
export {
    type AnswerFacts,
    type AnswerProof,
    proofOfAnswer,
    requiresNewConnection,
    type SendFacts,
} from "./answerProof";
export { type ConfigurationCurrency, maxConfirmationAgeMs, mayRefuseFinally } from "./configurationCurrency";
export { type EventDecision, type EventSequence, makeEventSequence } from "./eventSequence";
export { type EventSplitter, makeEventSplitter, type RawEvent } from "./eventSplitter";
export { type EnginePlacement, extraPrefillMs, isLongPrompt, makeEnginePlacement } from "./longPrompts";
export * from "./placement";
export {
    fencesPerEra,
    initialPlanningLease,
    type LeaseOptions,
    type LeaseSnapshot,
    type LeaseState as PlanningLeaseState,
    type LeaseStep as PlanningLeaseStep,
    mayPlan,
    nextLeaseStep as nextPlanningStep,
    noteSnapshot,
    noteUncertainOutcome,
} from "./planningLease";
export { forwardPassMs, predictFirstEventMs, prefillMs, type RequestSize, usualServiceMs } from "./prediction";
export { makePredictionBias, makePredictionBiases, type PredictionBias, type PredictionBiases } from "./predictionBias";
export { makePrefillBacklog, type PrefillBacklog } from "./prefillBacklog";
export { makeRecentShares, type RecentShares } from "./recentShares";
export { mayTakeIn, type RemainingLife, type RequestSpan } from "./remainingLife";
export { pathOfTarget } from "./requestTarget";
export { makeSharedRetryBudget, type RetryBudgetOptions, type SharedRetryBudget } from "./retryBudget";
export {
    type AttemptCounts,
    type AttemptFailure,
    consumesRetryBudget,
    countAttempt,
    endingOfAttempts,
    mayRetryRequest,
    noAttemptsYet,
    type RetryRules,
} from "./retryPolicy";
export { chooseService, makeRouteTable, type RouteTable } from "./routeTable";
export { isSendableHeaderValue, isSendableTarget } from "./sendableText";
export { detectStall, type PendingAttempt, type StallState } from "./stallDetection";
export { type LoadReport, makeUpstreamLoad, type UpstreamLoad } from "./upstreamLoad";
export { type PriorityInput, requestPriority, urgenciesOf, urgencyOf, urgencyRank } from "./urgency";
export { makeWorkspaceShares, type WorkspaceCounts, type WorkspaceShares } from "./workspaceShares";
