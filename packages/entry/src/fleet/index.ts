/** What this process knows of its zone: instances, groups, evidence, and which groups may be given work. */
export { type Fleet, startFleet } from "./fleetTask";
export { noHead, type ZoneKnowledge } from "./zoneKnowledge";
