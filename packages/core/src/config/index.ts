/** The current configuration, built from subject rows. */
export {
    applyRows,
    emptySnapshot,
    foldRows,
    instanceIsRecalled,
    newerSnapshot,
    servicesOfKind,
    type Snapshot,
    versionIsRecalled,
} from "./snapshot";
