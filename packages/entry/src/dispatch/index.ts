/** Giving requests to replicas. */
export { type Dispatch, startDispatch } from "./dispatchTask";
export { type AttemptAccount, type Grant, type Granted, type Wanted } from "./grant";
