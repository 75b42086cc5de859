/** Times in the rows of groups, which the next holder of the lease goes on with, while answers of the store are slow or missing. */
import { type EngineGroup } from "@rattanquay/schema";
import { silentLog } from "@rattanquay/telemetry";
import { VirtualTimer } from "@rattanquay/timer";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { type GatewayContext } from "../../gatewayContext";
import { makeGatewayMetrics } from "../../metrics";
import { type RowTransaction, type StoreOutcome } from "../../ports";
import { makeGroupRows } from "../groupRows";
import { makeLeaseKeeper } from "../leaseKeeper";
import { groupTable, leaseTable } from "../tables";

const storeAheadMs = 100_000;
const stepMs = 100;
/** The lease is renewed within it. */
const renewalMs = 1_000;
const candidacy = { isPreferred: true, preferredCount: 1, otherCount: 0 };
const lostSinceMs = 5_000;
const stalledSinceMs = 7_000;
const group: EngineGroup = {
    group: "g1",
    epoch: 1,
    service: "models",
    model: "large",
    members: [{ id: "i1", bornAtMs: 1 }, { id: "i2", bornAtMs: 1 }],
};

/** A process, and a store whose answers take `takesMs`, half of it on the way there. */
function makeProcess(rows: Map<string, { readonly text: string; readonly revision: number }>) {
    const timer = new VirtualTimer();
    timer.advance(10_000);
    let revision = 0;
    const conditions = { takesMs: 0, answersWrites: true, unanswered: 0 };
    const stamped = <T>(value: T): StoreOutcome<T> => {
        const sentAtMs = timer.nowMs();
        timer.advance(conditions.takesMs / 2);
        const storeNowMs = timer.nowMs() + storeAheadMs;
        timer.advance(conditions.takesMs / 2);
        return { kind: "done", value, stamp: { sentAtMs, storeNowMs, storeRevision: revision } };
    };
    const context = {
        settings: { instance: "edge-1", cores: 1 },
        timer,
        log: silentLog,
        metrics: makeGatewayMetrics(),
        random: () => 0.5,
        ports: {
            store: {
                read: async (table: string) =>
                    stamped(
                        [...rows].filter(([key]) => key.startsWith(`${table}/`)).map(([key, row]) => ({
                            key: key.slice(table.length + 1),
                            ...row,
                        })),
                    ),
                write: async ({ put }: RowTransaction): Promise<StoreOutcome<void>> => {
                    const isLost = !conditions.answersWrites && put.some(({ table }) => table === leaseTable);
                    if (isLost) {
                        conditions.unanswered++;
                        return { kind: "unanswered", reason: "timeout" };
                    }
                    revision++;
                    put.forEach(({ table, key, text }) => rows.set(`${table}/${key}`, { text, revision }));
                    return stamped(undefined);
                },
            },
        },
    } as unknown as GatewayContext;
    const lease = makeLeaseKeeper(context, () => candidacy);
    return { timer, conditions, lease, groups: makeGroupRows(context, lease) };
}

async function takeLease({ timer, lease }: ReturnType<typeof makeProcess>): Promise<void> {
    for (let step = 0; step < 20 && !lease.mayPlan(); step++) {
        timer.advance(stepMs);
        await lease.step();
    }
    assert.ok(lease.mayPlan());
}

test("TWO: a time that is written after an unclear renewal of the lease is on the store's clock", async () => {
    const rows = new Map<string, { readonly text: string; readonly revision: number }>();
    const holder = makeProcess(rows);
    await takeLease(holder);
    holder.conditions.answersWrites = false;
    await holder.groups.read();
    for (let elapsedMs = 0; elapsedMs < renewalMs && holder.conditions.unanswered === 0; elapsedMs += stepMs) {
        holder.timer.advance(stepMs);
        await holder.lease.step();
    }
    assert.is(holder.conditions.unanswered, 1);
    assert.ok(holder.lease.mayPlan());
    assert.ok(
        await holder.groups.write({
            form: [{ ...group, lostSinceMs, stalledSinceMs }],
            rewrite: [],
            remove: [],
            loads: undefined,
        }),
    );
    const written = JSON.parse(rows.get(`${groupTable}/g1`)!.text) as EngineGroup;
    assert.equal([written.lostSinceMs, written.stalledSinceMs], [
        lostSinceMs + storeAheadMs,
        stalledSinceMs + storeAheadMs,
    ]);
});

test("TWO: a slow answer of the store makes no time that a holder left look earlier", async () => {
    const rows = new Map<string, { readonly text: string; readonly revision: number }>();
    const { conditions, groups, lease, ...holder } = makeProcess(rows);
    await takeLease({ conditions, groups, lease, ...holder });
    await groups.read();
    assert.ok(
        await groups.write({ form: [{ ...group, stalledSinceMs }], rewrite: [], remove: [], loads: undefined }),
    );
    conditions.takesMs = 400;
    for (let elapsedMs = 0; elapsedMs < renewalMs; elapsedMs += stepMs) {
        holder.timer.advance(stepMs);
        await lease.step();
    }
    await groups.read();
    const readMs = groups.all()![0]!.stalledSinceMs!;
    assert.ok(readMs >= stalledSinceMs && readMs <= stalledSinceMs + conditions.takesMs, String(readMs));
});

test.run();
