/** Small clusters, embedded in one process or as separate processes. */
export { callOperatorApi, countServingReplicas, submit, waitUntilServing } from "./clusterClient";
export {
    callerKey,
    type ClusterSpec,
    defaultSpec,
    operatorKey,
    settingsFor,
    ticketFor,
    zoneNames,
} from "./clusterSpec";
export { checkControlHistory, type ControlSample, observe, type Observer } from "./controlHistory";
export { type EmbeddedCluster, startEmbeddedCluster } from "./embeddedCluster";
export { type EntryProcess } from "./entryStarter";
export { type EntrySwarmOptions, startEntrySwarm } from "./entrySwarm";
export { type ClusterProcess } from "./launcher";
export { type ProcessCluster, startProcessCluster } from "./processCluster";
export { runRattanquay } from "./program";
export { waitUntil } from "./waitUntil";
