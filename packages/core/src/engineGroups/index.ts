/** Evaluates, forms, opens and dissolves the groups of engine instances that serve one model together. */
export { chooseFormations, type Formation, type FormationLimits, makeModelDemand } from "./chooseFormations";
export { choosePreemption, type Preemption } from "./choosePreemption";
export { chooseStaging, type Staging } from "./chooseStaging";
export { evaluateEngineGroup, type GroupCondition } from "./evaluateEngineGroup";
export {
    type AddressedEngineOrder,
    type FleetView,
    freeInstances,
    type GroupPlan,
    incarnationOf,
    type OrderResult,
    orphanedHeads,
} from "./fleetView";
export { type GroupPlanner, makeGroupPlanner, type OrderOutcome, type PlannerOptions } from "./groupPlanner";
export { probeIntervals } from "./probeIntervals";
export { makeWeightLoadTracker, type WeightLoadTracker } from "./weightLoadTracker";
