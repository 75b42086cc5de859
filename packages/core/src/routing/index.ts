/** Which replica gets a request, and which request waits. */
export { type Dispatcher, type Job, makeDispatcher, type Started, type Submission } from "./dispatcher";
export { chooseReplica, type Replica, type ReplicaState, routingPolicies, type RoutingPolicy } from "./routingPolicies";
