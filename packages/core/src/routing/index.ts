/** Assigns requests to replicas and queues those that must wait. */
export {
    type Dispatcher,
    type DispatcherOptions,
    type Job,
    makeDispatcher,
    type StartedJob,
    type Submission,
} from "./dispatcher";
export { makeOutlierDetector, type OutlierDetector } from "./outlierDetector";
export { makeReplicaLoad, type ReplicaLoad } from "./replicaLoad";
export { type AttemptFeedback } from "./replicaPool";
export { chooseReplica, type Replica, type ReplicaState, routingPolicies, type RoutingPolicy } from "./routingPolicies";
