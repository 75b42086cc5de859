/** Decisions about one request (route, upstream, retries), and the lease on planning for all instances. */
export {
    afterSend,
    endingOfSends,
    isRepeat,
    maySendAgain,
    noSends,
    type SendFailure,
    type SendRules,
    type Sends,
} from "./attemptPlan";
export { type EventDecision, type EventOrder, makeEventOrder } from "./eventSequence";
export { type EventSplitter, makeEventSplitter, type RawEvent } from "./eventSplitter";
export { judgeStall, type PendingAttempt, type StallState } from "./judgeStall";
export * from "./placement";
export {
    type LeaseOptions,
    type LeaseReading,
    type LeaseState as PlanningLeaseState,
    type LeaseStep as PlanningLeaseStep,
    mayPlan,
    nextLeaseStep as nextPlanningStep,
    noLease,
    noteDoubt,
    noteReading,
} from "./planningLease";
export { makePredictionBias, makePredictionBiases, type PredictionBias, type PredictionBiases } from "./predictionBias";
export { makeRepeatBudget, type RepeatBudget, type RetryBudgetOptions } from "./retryBudget";
export { chooseService, makeRouteTable, type RouteTable } from "./routeTable";
export { type LoadReport, makeUpstreamLoad, type UpstreamLoad } from "./upstreamLoad";
