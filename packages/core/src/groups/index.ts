/** Planning groups of instances for one availability zone. */
export { type Action, planZone, type ZoneView } from "./planZone";
export { type RepairOrder, repairOrders } from "./repairOrder";
