/** Interface of the platform's transactional table. */
import { type Key, type Stored, type TableOutcome, type Write } from "@rattanquay/schema";

export { type Condition, type Key, type Row, type Stored, type TableOutcome, type Write } from "@rattanquay/schema";

/** A transactional table. Reads are strongly consistent. */
export type Table = {
    readonly read: (key: Key) => Promise<TableOutcome<Stored | undefined>>;
    readonly list: (partition: string) => Promise<TableOutcome<readonly Stored[]>>;
    /** Applies all writes or none. Repeating a transaction with the same `requestToken` has no further effect. */
    readonly transact: (writes: readonly Write[], requestToken: string) => Promise<TableOutcome<void>>;
    readonly stop: () => void;
};
