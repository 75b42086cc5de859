/** Planning the engine groups under a lease. */
export { type Planning, startPlanning } from "./planningTask";
export { groupTable, instanceTable, leaseKey, leaseTable } from "./tables";
