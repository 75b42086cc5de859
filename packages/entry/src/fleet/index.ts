/** Tracks this process's zone: instances, groups, evidence, and which groups may be given work. */
export { type Fleet, startFleet } from "./fleetTask";
export { type ObservedZone, unwrittenHeadVersion } from "./observedZone";
