/** Faults of running stand-ins, set from outside. */
export { faultUsage, runFault } from "./runFault";
