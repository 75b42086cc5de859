/** The platform's table in memory, with its real conditions, for runs in virtual time. */
import { type Condition, type Key, type Stored, type Write } from "@rattanquay/schema";

const idOf = ({ partition, key }: Key): string => `${partition}\u0000${key}`;

const holders: {
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

    /** All writes or none; whether they took effect. */
    transact(writes: readonly Write[], token: string): boolean {
        this.counts.writes++;
        this.counts.largestTransaction = Math.max(this.counts.largestTransaction, writes.length);
        if (this.tokens.has(token)) {
            return true;
        }
        if (!writes.every(write => this.holds(write))) {
            return false;
        }
        this.tokens.add(token);
        writes.forEach(write => this.apply(write));
        return true;
    }

    private holds({ at, condition }: Write): boolean {
        const holder = condition === undefined ? undefined : holders[condition.kind];
        return holder === undefined
            || (holder as (row: Stored | undefined, condition: Condition) => boolean)(
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
