/**
 * Rows, conditions and writes of the platform's transactional table, as narrow as the project needs them.
 *
 * A row has a partition, a key, a body, a `version` that the writer chooses, and a `token` that names the write. Every
 * condition is about one number or about absence, so that any transactional table can carry it.
 */

/** Names one row. */
export type Key = { readonly partition: string; readonly key: string };

/** What a write may demand of the row that stands there before it. */
export type Condition =
    | { readonly kind: "absent" }
    | { readonly kind: "versionIs"; readonly version: number }
    | { readonly kind: "fenceIs"; readonly fence: number };

/** A row's content. */
export type Row = {
    readonly version: number;
    /** Names the write, so that a writer whose answer was lost can tell whether it took effect. */
    readonly token: string;
    /** The fencing number that conditions refer to, for rows that have one. */
    readonly fence?: number;
    readonly body: unknown;
};

export type Stored = Key & Row;

/** One step of a transaction. */
export type Write =
    | { readonly kind: "put"; readonly at: Key; readonly row: Row; readonly condition?: Condition }
    | { readonly kind: "remove"; readonly at: Key; readonly condition?: Condition }
    | { readonly kind: "check"; readonly at: Key; readonly condition: Condition };

/** Steps that one transaction may hold. */
export const maxTransactionWrites = 100;

/** `conflict`: a condition did not hold, nothing was written. `unavailable`: a write may or may not have taken effect. */
export type TableOutcome<T> =
    | { readonly kind: "done"; readonly value: T }
    | { readonly kind: "conflict" }
    | { readonly kind: "unavailable"; readonly reason: string };

/** Whether nothing has written the row since it was read. */
export function unchanged(row: Stored | undefined): Condition {
    return row === undefined ? { kind: "absent" } : { kind: "versionIs", version: row.version };
}
