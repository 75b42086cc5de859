/** Giving requests to replicas. */
export { type Dispatch, type Grant, startDispatch } from "./dispatchTask";
