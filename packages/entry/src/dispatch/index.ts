/** Assigns requests to replicas. */
export { type Dispatch, startDispatch } from "./dispatchTask";
export { type AdmissionDecision, type AttemptReport, type ReplicaGrant, type ReplicaRequest } from "./replicaRequest";
