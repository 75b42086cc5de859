/** The lease on controlling a zone, held without comparing the clocks of processes. */
export {
    initialLease,
    type LeaseState,
    type LeaseStep,
    mayAct,
    nextLeaseStep,
    noteObservedRow,
    noteRequestSent,
    type StoredLease,
} from "./lease";
