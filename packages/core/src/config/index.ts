/** The current configuration, built from subject rows. */
export {
    applyRows,
    buildSnapshot,
    emptySnapshot,
    instanceIsRecalled,
    newerSnapshot,
    servicesOfKind,
    type Snapshot,
    versionIsRecalled,
} from "./snapshot";
