/** Plans the engine groups while holding a lease. */
export { type Planning, startPlanning } from "./planningTask";
export { groupTable, instanceTable, leaseKey, leaseTable } from "./tables";
