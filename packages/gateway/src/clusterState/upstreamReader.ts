/** Reads the list of upstreams from the rows of their table. */
import { eraOf, type UpstreamRecord } from "@rattanquay/schema";
import { type RecordSource, type RemovedRow, type StoredRow } from "../ports";
import { type RowFaults } from "../rowFaults";
import { type ClusterState } from "./clusterState";
import { type Revisioned } from "./restoredRows";
import { type TableReader } from "./tableWatch";

/** `afterOutage` takes an action that must wait until upstreams have had the time to register again after an outage. */
export function makeUpstreamReader(
    source: RecordSource<UpstreamRecord>,
    clusterState: ClusterState,
    faults: RowFaults,
    afterOutage: (action: () => void) => void,
): TableReader {
    /** Upstreams whose rows cannot be decoded any longer count as removed. */
    const decode = (rows: readonly StoredRow[]) => {
        const records: Revisioned<UpstreamRecord>[] = [];
        const unreadable: RemovedRow[] = [];
        for (const row of rows) {
            const value = faults.take(row, source.decode(row));
            if (value === undefined) {
                unreadable.push(row);
            }
            else {
                records.push({ value, revision: row.revision });
            }
        }
        return { records, unreadable };
    };
    return {
        onSnapshot: (rows, asOf) => {
            const { records } = decode(rows);
            const applyList = (): void => clusterState.applySnapshot(records, asOf, "store");
            // A list that begins an era keeps by itself what it lacks.
            if (!clusterState.hasCompleteList() || eraOf(asOf) > eraOf(clusterState.asOf())) {
                applyList();
                return;
            }
            clusterState.applyRecords(records, "store");
            afterOutage(applyList);
        },
        onChanges: ({ rows, removed }, asOf) => {
            const { records, unreadable } = decode(rows);
            clusterState.applyRecords(records, "store");
            const gone = [...removed, ...unreadable].map(({ key: id, revision }) => ({ id, revision }));
            // A peer that asks for the changes after a position must not miss removals that are still delayed.
            afterOutage(() => {
                clusterState.applyRemovals(gone, "store");
                clusterState.advanceAsOf(asOf);
            });
        },
    };
}
