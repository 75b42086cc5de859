/** An in-memory fake of the platform's table, with its conditional transactions, for runs in virtual time. */
import { type Condition, type Key, type Stored, type Write } from "@rattanquay/schema";

const idOf = ({ partition, key }: Key): string => `${partition}\u0000${key}`;

const conditionChecks: {
    readonly [K in Condition["kind"]]: (row: Stored | undefined, condition: Extract<Condition, { kind: K }>) => boolean;
} = {
    absent: row => row === undefined,
    versionIs: (row, { version }) => row?.version === version,
    fenceIs: (row, { fence }) => row?.fence === fence,
};

export class FakeTable {
    private readonly rows = new Map<string, Stored>();
    private readonly tokens = new Set<string>();
    readonly counts = { reads: 0, writes: 0, largestTransaction: 0 };

    read(key: Key): Stored | undefined {
        this.counts.reads++;
        return this.rows.get(idOf(key));
    }

    list(partition: string): readonly Stored[] {
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
            || (check as (row: Stored | undefined, condition: Condition) => boolean)(
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
