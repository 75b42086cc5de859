/** Giving requests to replicas. */
export {
    type AttemptAccount,
    type Dispatch,
    type Grant,
    type Granted,
    startDispatch,
    type Wanted,
} from "./dispatchTask";
