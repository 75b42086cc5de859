/** The local view of the cluster state, kept up to date from the store. */
export { type Beliefs, type Dated, makeBeliefs, type Origin, type RemovedId } from "./clusterState";
export { type TableWatch, watchTable } from "./tableWatch";
export { type ClusterStateWatch, watchClusterState } from "./watchClusterState";
