/** The command that sets faults at running stand-ins. */
export { faultUsage, runFault } from "./runFault";
