/** The local view of the cluster state, kept up to date from the store. */
export { type ClusterState, makeClusterState } from "./clusterState";
export { type ConfigurationEvidence, confirmedAgeMs, makeConfigurationAge } from "./configurationAge";
export { type ConfigurationCheck, makeConfigurationCheck, type RelayConfirmation } from "./configurationCheck";
export { type Evacuations } from "./evacuations";
export { isEvacuationKnown } from "./isEvacuationKnown";
export { type Origin } from "./origin";
export { reportUnknownRegions } from "./reportUnknownRegions";
export { type Revisioned } from "./restoredRows";
export { type TableWatch, watchTable } from "./tableWatch";
export { type RemovedId } from "./upstreamList";
export { type ClusterStateWatch, watchClusterState } from "./watchClusterState";
