/** Listeners. */
export { type CallerDoor, startCallerDoor } from "./callerDoor";
export { startMetricsDoor, startReadinessDoor } from "./smallDoor";
