/** When the store's answers confirm, and when they cannot, that the configuration in force is the newest. */
import { mayRefuseFinally } from "@rattanquay/core";
import { type ServingConfig } from "@rattanquay/schema";
import { silentLog } from "@rattanquay/telemetry";
import { VirtualTimer } from "@rattanquay/timer";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { type GatewayContext } from "../../gatewayContext";
import { makeGatewayMetrics } from "../../metrics";
import { type RecordSource, type RowChanges, type RowStore, type StoreOutcome } from "../../ports";
import { watchTable } from "../tableWatch";
import { watchClusterState } from "../watchClusterState";

const stepMs = 10;
const promiseDepth = 20;

async function settlePromises(): Promise<void> {
    for (let depth = 0; depth < promiseDepth; depth++) {
        await Promise.resolve();
    }
}

async function advance(timer: VirtualTimer, durationMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
        timer.advance(stepMs);
        await settlePromises();
    }
}

test("DENIED: a newer configuration that this build can't read leaves the older one confirmed as the newest", async () => {
    const timer = new VirtualTimer();
    timer.advance(1_000);
    const config = { version: 1, routes: [], services: [], bounds: { maxBodyBytes: 1 } } as unknown as ServingConfig;
    let revision = 1;
    const done = (rows: readonly unknown[]): StoreOutcome<never> => ({
        kind: "done",
        value: rows as never,
        stamp: { sentAtMs: timer.nowMs(), storeNowMs: 0, storeRevision: revision },
    });
    const row = (text: string) => ({ table: "op", key: "config", text, revision });
    let written = false;
    const store: RowStore = {
        followSlackMs: 800,
        read: async table => done(table === "op" ? [row("1")] : []),
        follow: async (table, after) => {
            await new Promise<void>(resolve => timer.after(100, resolve));
            const isNew = written && table === "op" && after < revision;
            return done({ rows: isNew ? [row("of a later build")] : [], removed: [] } as never);
        },
        write: async () => done([]),
    };
    const source: RecordSource<ServingConfig> = {
        table: "op",
        decode: ({ text }) =>
            text === "1" ? { kind: "usable", value: config } : { kind: "unusable", reason: "a new field" },
    };
    const upstreams: RecordSource<never> = { table: "servers", decode: () => ({ kind: "unrelated" }) };
    const evacuations: RecordSource<never> = { table: "op", decode: () => ({ kind: "unrelated" }) };
    const watch = watchClusterState(
        {
            settings: { bounds: { contactMs: 3_000 } },
            ports: { store, sources: { configuration: source, upstreams, evacuations } },
            timer,
            log: silentLog,
            metrics: makeGatewayMetrics(),
            random: () => 0.5,
            onFatalError: assert.unreachable,
        } as unknown as GatewayContext,
        () => false,
    );
    await advance(timer, 1_000);
    assert.ok(mayRefuseFinally(watch.clusterState.configurationEvidence(), timer.nowMs()), "not confirmed in calm");
    written = true;
    revision = 2;
    await advance(timer, 3_000);
    watch.stop();
    assert.not(mayRefuseFinally(watch.clusterState.configurationEvidence(), timer.nowMs()));
});

test("a suspended watch whose history the store no longer keeps can be confirmed again", async () => {
    const timer = new VirtualTimer();
    timer.advance(100);
    let oldestKept = 0;
    let revision = 7;
    const done = <T>(value: T): StoreOutcome<T> => ({
        kind: "done",
        value,
        stamp: { sentAtMs: timer.nowMs(), storeNowMs: 0, storeRevision: revision },
    });
    const store: RowStore = {
        followSlackMs: 0,
        read: async () => done([]),
        follow: async (unused, after, waitMs): Promise<StoreOutcome<RowChanges>> => {
            await new Promise<void>(resolve => timer.after(waitMs, resolve));
            return after < oldestKept ? { kind: "historyLost" } : done({ rows: [], removed: [] });
        },
        write: async () => done(undefined),
    };
    const context = { timer, log: silentLog, ports: { store }, random: () => 0, onFatalError: assert.unreachable };
    const watch = watchTable({
        table: "op",
        minPollMs: () => 0,
        maxWaitMs: () => 1_000,
        knownRevision: () => 0,
        reader: { onSnapshot: () => undefined, onChanges: () => undefined },
    }, context as unknown as GatewayContext);
    await advance(timer, 200);
    watch.setActive(false);
    await advance(timer, 2_000);
    revision = 90;
    oldestKept = 50;
    const answers: boolean[] = [];
    for (let question = 0; question < 3; question++) {
        void watch.confirmAnyway().then(isAnswered => answers.push(isAnswered));
        await advance(timer, 1_000);
    }
    watch.stop();
    assert.ok(answers.includes(true), `no answer of ${answers.length} questions confirms`);
});

test.run();
