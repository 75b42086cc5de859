/** The configuration in force, folded from subject rows. */
export {
    emptySnapshot,
    foldRows,
    instanceIsRecalled,
    newerSnapshot,
    servicesOfKind,
    type Snapshot,
    versionIsRecalled,
} from "./snapshot";
