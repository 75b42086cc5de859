/**
 * Rows, conditions and writes of the platform's transactional table, limited to what the project needs.
 *
 * A row has a partition, a key, a body, a `version` that the writer chooses, and a `token` that identifies the write. Every
 * condition tests one number or the absence of the row, so that any transactional table can support it.
 */

/** Identifies one row. */
export type RowKey = { readonly partition: string; readonly key: string };

/** What a write may require of the existing row. */
export type Condition =
    | { readonly kind: "absent" }
    | { readonly kind: "versionIs"; readonly version: number }
    | { readonly kind: "fenceIs"; readonly fence: number };

/** A row's content. */
export type Row = {
    readonly version: number;
    /** Identifies the write, so that a writer whose answer was lost can find out whether it took effect. */
    readonly token: string;
    /** The fencing number that `fenceIs` conditions test, for rows that have one. */
    readonly fence?: number;
    readonly body: unknown;
};

export type KeyedRow = RowKey & Row;

/** One step of a transaction. */
export type Write =
    | { readonly kind: "put"; readonly at: RowKey; readonly row: Row; readonly condition?: Condition }
    | { readonly kind: "remove"; readonly at: RowKey; readonly condition?: Condition }
    | { readonly kind: "check"; readonly at: RowKey; readonly condition: Condition };

/** The most steps that one transaction may have. */
export const maxTransactionWrites = 100;

/** `conflict`: a condition did not hold and nothing was written. `unavailable`: a write may or may not have taken effect. */
export type TableOutcome<T> =
    | { readonly kind: "done"; readonly value: T }
    | { readonly kind: "conflict" }
    | { readonly kind: "unavailable"; readonly reason: string };

/** The condition that the row has not been written since it was read. */
export function unchangedSince(row: KeyedRow | undefined): Condition {
    return row === undefined ? { kind: "absent" } : { kind: "versionIs", version: row.version };
}
