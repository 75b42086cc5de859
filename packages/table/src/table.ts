/** The platform's transactional table. */
import { type Key, type Stored, type TableOutcome, type Write } from "@rattanquay/schema";

export { type Condition, type Key, type Row, type Stored, type TableOutcome, type Write } from "@rattanquay/schema";

/** The table. Reads are strongly consistent. */
export type Table = {
    readonly read: (key: Key) => Promise<TableOutcome<Stored | undefined>>;
    readonly list: (partition: string) => Promise<TableOutcome<readonly Stored[]>>;
    /** All writes or none. A write that takes effect a second time under the same `requestToken` changes nothing. */
    readonly transact: (writes: readonly Write[], requestToken: string) => Promise<TableOutcome<void>>;
    readonly stop: () => void;
};
