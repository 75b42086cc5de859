/** Reads evacuations of zones from the rows of the operator's table. */
import { type ZoneEvacuation } from "@rattanquay/schema";
import { type RecordSource, type RemovedRow, type StoredRow } from "../ports";
import { type RowFaults } from "../rowFaults";
import { type Evacuations } from "./evacuations";
import { type TableReader } from "./tableWatch";

export function makeEvacuationReader(
    source: RecordSource<string>,
    evacuations: Evacuations,
    faults: RowFaults,
): TableReader {
    const read = (rows: readonly (StoredRow | RemovedRow)[], isEvacuated: boolean): readonly ZoneEvacuation[] =>
        rows.flatMap(row => {
            const zone = faults.take(row, source.decode({ text: undefined, ...row }));
            return zone === undefined ? [] : [{ zone, isEvacuated, revision: row.revision }];
        });
    return {
        onSnapshot: (rows, asOf) => evacuations.applySnapshot(read(rows, true), asOf, "store"),
        onChanges: ({ rows, removed }) => {
            const changes = [...read(rows, true), ...read(removed, false)];
            evacuations.apply(changes, Math.max(0, ...changes.map(({ revision }) => revision)), "store");
        },
    };
}
