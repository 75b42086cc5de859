/** Which replica gets a request, and which request waits. */
export {
    type Dispatcher,
    type DispatcherOptions,
    type Job,
    makeDispatcher,
    type Started,
    type Submission,
} from "./dispatcher";
export { makeOutliers, type Outliers } from "./outliers";
export { makeReplicaLoad, type ReplicaLoad } from "./replicaLoad";
export { type Account } from "./replicaPool";
export { chooseReplica, type Replica, type ReplicaState, routingPolicies, type RoutingPolicy } from "./routingPolicies";
