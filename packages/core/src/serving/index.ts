/** Decisions about one request: its route, its upstream, its repeats; and the right to plan for all. */
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
export { type EventOrder, type EventVerdict, makeEventOrder } from "./eventOrder";
export { judgeStall, type StallVerdict, type WaitingSend } from "./judgeStall";
export * from "./placing";
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
export { makeRepeatBudget, type RepeatBounds, type RepeatBudget } from "./repeatBudget";
export { chooseService, makeRouteTable, type RouteTable } from "./routeTable";
export { type LoadReport, makeUpstreamLoad, type UpstreamLoad } from "./upstreamLoad";
