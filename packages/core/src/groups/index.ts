/** Plans the groups of instances in one availability zone. */
export { type LoadNeed, loadOrderPolicies, type LoadOrderPolicy } from "./loadOrder";
export { type PlanPolicies, planZone } from "./planZone";
export { missingShareOf, repairOrderPolicies, type RepairOrderPolicy } from "./repairOrder";
export { rolloutPolicies, type RolloutPolicy } from "./rollouts";
export { spareSelectionPolicies, type SpareSelectionPolicy } from "./spares";
export { breakUpPolicies, type BreakUpPolicy } from "./weakGroups";
export {
    type Candidate,
    isCurrent,
    isServing,
    isWeak,
    weightsNameOf,
    type ZoneAction,
    type ZoneView,
} from "./zoneView";
