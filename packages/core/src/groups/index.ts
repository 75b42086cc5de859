/** Planning groups of instances for one availability zone. */
export { type LoadNeed, type LoadOrder, loadOrders } from "./loadOrder";
export { type PlanPolicies, planZone } from "./planZone";
export { lackOf, type RepairOrder, repairOrders } from "./repairOrder";
export { type Rollout, rollouts } from "./rollouts";
export { type SpareChoice, spareChoices } from "./spares";
export { type BreakUp, breakUps } from "./weakGroups";
export { type Action, type Candidate, isCurrent, isServing, isWeak, weightsOf, type ZoneView } from "./zoneView";
