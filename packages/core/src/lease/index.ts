/** Holding a zone's control lease without comparing clocks. */
export {
    initialLease,
    type LeaseState,
    type LeaseStep,
    mayAct,
    nextLeaseStep,
    noteAsked,
    noteRead,
    type StoredLease,
} from "./lease";
