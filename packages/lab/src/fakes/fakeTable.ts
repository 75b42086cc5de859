/** An in-memory fake of the platform's table, with its conditional transactions, for runs in virtual time. */
import { type Condition, type KeyedRow, type RowKey, type Write } from "@rattanquay/schema";

const idOf = ({ partition, key }: RowKey): string => `${partition}\u0000${key}`;

const conditionChecks: {
    readonly [K in Condition["kind"]]: (
        row: KeyedRow | undefined,
        condition: Extract<Condition, { kind: K }>,
    ) => boolean;
} = {
    absent: row => row === undefined,
    versionIs: (row, { version }) => row?.version === version,
    fenceIs: (row, { fence }) => row?.fence === fence,
};

export class FakeTable {
    private readonly rows = new Map<string, KeyedRow>();
    private readonly tokens = new Set<string>();
    readonly counts = { reads: 0, writes: 0, largestTransaction: 0 };

    read(key: RowKey): KeyedRow | undefined {
        this.counts.reads++;
        return this.rows.get(idOf(key));
    }

    list(partition: string): readonly KeyedRow[] {
        this.counts.reads++;
        return [...this.rows.values()].filter(row => row.partition === partition);
    }

    /**
     * Applies all writes, or none if a condition fails, and returns whether they are applied. Writes whose token has
     * been applied before are not applied again.
     */
    transact(writes: readonly Write[], token: string): boolean {
        this.counts.writes++;
        this.counts.largestTransaction = Math.max(this.counts.largestTransaction, writes.length);
        if (this.tokens.has(token)) {
            return true;
        }
        if (!writes.every(write => this.conditionHolds(write))) {
            return false;
        }
        this.tokens.add(token);
        writes.forEach(write => this.apply(write));
        return true;
    }

    private conditionHolds({ at, condition }: Write): boolean {
        const check = condition === undefined ? undefined : conditionChecks[condition.kind];
        return check === undefined
            || (check as (row: KeyedRow | undefined, condition: Condition) => boolean)(
                this.rows.get(idOf(at)),
                condition!,
            );
    }

    private apply(write: Write): void {
        if (write.kind === "put") {
            this.rows.set(idOf(write.at), { ...write.at, ...write.row });
        }
        if (write.kind === "remove") {
            this.rows.delete(idOf(write.at));
        }
    }
}
