/** Plans the groups of instances in one availability zone. */
export { type LoadNeed, type LoadOrder, loadOrders } from "./loadOrder";
export { type PlanPolicies, planZone } from "./planZone";
export { lackOf, type RepairOrderPolicy, repairOrders } from "./repairOrder";
export { type RolloutPolicy, rollouts } from "./rollouts";
export { spareChoices, type SpareSelectionPolicy } from "./spares";
export { type BreakUpPolicy, breakUps } from "./weakGroups";
export { type Action, type Candidate, isCurrent, isServing, isWeak, weightsOf, type ZoneView } from "./zoneView";
