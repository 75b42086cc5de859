/** Tracks this process's zone: instances, groups, evidence, and which groups may be given work. */
export { type Fleet, startFleet } from "./fleetTask";
export { unwrittenHeadVersion, type ZoneKnowledge } from "./zoneKnowledge";
