/** Interface of the platform's transactional table. */
import { type KeyedRow, type RowKey, type TableOutcome, type Write } from "@rattanquay/schema";

export {
    type Condition,
    type KeyedRow,
    type Row,
    type RowKey,
    type TableOutcome,
    type Write,
} from "@rattanquay/schema";

/** A transactional table. Reads are strongly consistent. */
export type Table = {
    readonly read: (key: RowKey) => Promise<TableOutcome<KeyedRow | undefined>>;
    readonly list: (partition: string) => Promise<TableOutcome<readonly KeyedRow[]>>;
    /** Applies all writes or none. Repeating a transaction with the same `requestToken` has no further effect. */
    readonly transact: (writes: readonly Write[], requestToken: string) => Promise<TableOutcome<void>>;
    readonly stop: () => void;
};
