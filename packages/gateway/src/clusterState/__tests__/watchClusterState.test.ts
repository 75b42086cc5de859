/**
 * How soon a process reads the store again after its connections went silent without an error, and from when on it no
 * longer calls its configuration confirmed.
 */
import { type ServingConfig } from "@rattanquay/schema";
import { silentLog } from "@rattanquay/telemetry";
import { VirtualTimer } from "@rattanquay/timer";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { type GatewayContext } from "../../gatewayContext";
import { makeGatewayMetrics } from "../../metrics";
import { type RecordSource, type RowStore, type StoreOutcome } from "../../ports";
import { longestWaitMs } from "../tableWatch";
import { watchClusterState } from "../watchClusterState";

const stepMs = 5;
/** Longer than the pauses between polls. */
const settledMs = 1_000;
/** Left for the read over a new connection, and for relays to pass on what it brings. */
const marginMs = 400;
/** More than the promises that one call to the store resolves one after another. */
const promiseDepth = 20;
const tables = ["op", "servers"];

/** A store without changes, whose polls never get an answer if they began before it was silenced, or of one table at all. */
function makeStore(timer: VirtualTimer, followSlackMs: number) {
    let silencedAtMs = Infinity;
    let silentTable: string | undefined;
    const answeredAtMs = new Map<string, number>();
    const done = (): StoreOutcome<never> => {
        const stamp = { sentAtMs: 0, storeNowMs: 0, storeRevision: 1 };
        return { kind: "done", value: { rows: [], removed: [] } as never, stamp };
    };
    const later = <T>(delayMs: number, make: () => T): Promise<T> =>
        new Promise(resolve => timer.after(delayMs, () => resolve(make())));
    const store: RowStore = {
        followSlackMs,
        read: async () => ({ ...done(), value: [] as never }),
        follow: async (table, after, waitMs) => {
            const beganAtMs = timer.nowMs();
            if (beganAtMs > silencedAtMs) {
                answeredAtMs.set(table, answeredAtMs.get(table) ?? beganAtMs);
            }
            await later(waitMs, () => undefined);
            const isSilent = silentTable === undefined ? beganAtMs <= silencedAtMs : table === silentTable;
            if (isSilent && timer.nowMs() > silencedAtMs) {
                return later(followSlackMs, () => ({ kind: "unanswered", reason: "silent" }));
            }
            return done();
        },
        write: async () => done(),
    };
    const silence = (table?: string): void => {
        silentTable = table;
        silencedAtMs = timer.nowMs();
    };
    return { store, silence, answeredAtMs };
}

async function settlePromises(): Promise<void> {
    for (let depth = 0; depth < promiseDepth; depth++) {
        await Promise.resolve();
    }
}

/** Returns the longest time from a silence to the next answered poll of any table, for silences at many moments. */
async function longestSilenceMs(contactMs: number, followSlackMs: number): Promise<number> {
    const found: number[] = [];
    for (let silentAfterMs = settledMs; silentAfterMs < settledMs + contactMs; silentAfterMs += contactMs / 10) {
        const timer = new VirtualTimer();
        const { store, silence, answeredAtMs } = makeStore(timer, followSlackMs);
        const source = (table: string): RecordSource<never> => ({ table, decode: () => ({ kind: "unrelated" }) });
        const watch = watchClusterState(
            {
                settings: { bounds: { contactMs } },
                ports: { store, sources: { configuration: source("op"), upstreams: source("servers") } },
                timer,
                log: silentLog,
                metrics: makeGatewayMetrics(),
                random: () => 0.999,
                onFatalError: (task: string, error: unknown) => {
                    throw new Error(`${task}: ${String(error)}`);
                },
            } as unknown as GatewayContext,
            () => false,
        );
        const advance = async (durationMs: number): Promise<void> => {
            for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
                timer.advance(stepMs);
                await settlePromises();
            }
        };
        await advance(silentAfterMs);
        silence();
        const silentAtMs = timer.nowMs();
        await advance(2 * contactMs);
        watch.stop();
        found.push(...tables.map(table => (answeredAtMs.get(table) ?? Infinity) - silentAtMs));
    }
    return Math.max(...found);
}

const cases = [
    { contactMs: 2_000, followSlackMs: 800 },
    { contactMs: 3_000, followSlackMs: 800 },
    { contactMs: 3_000, followSlackMs: 1_200 },
    { contactMs: 5_000, followSlackMs: 800 },
];

for (const { contactMs, followSlackMs } of cases) {
    test(`CONFIG, DRAIN: a silent store connection is replaced within ${contactMs} ms, at a slack of ${followSlackMs} ms`, async () => {
        const silenceMs = await longestSilenceMs(contactMs, followSlackMs);
        assert.ok(silenceMs <= contactMs - marginMs, `noticed after ${silenceMs} ms`);
    });
}

/** Processes that follow a relay rely on it to notice within this time that the store is silent. */
const noticedWithinMs = 1_000;
for (const table of tables) {
    test(`DENIED, DRAIN: a relay is called current while its watch of the table "${table}" alone is silent`, async () => {
        const timer = new VirtualTimer();
        const { store, silence } = makeStore(timer, 800);
        const source = (name: string): RecordSource<never> => ({ table: name, decode: () => ({ kind: "unrelated" }) });
        const watch = watchClusterState(
            {
                settings: { bounds: { contactMs: 3_000 } },
                ports: { store, sources: { configuration: source("op"), upstreams: source("servers") } },
                timer,
                log: silentLog,
                metrics: makeGatewayMetrics(),
                random: () => 0.5,
                onFatalError: assert.unreachable,
            } as unknown as GatewayContext,
            () => false,
        );
        const seen: boolean[] = [];
        const advance = async (durationMs: number): Promise<void> => {
            for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
                timer.advance(stepMs);
                await settlePromises();
                seen.push(watch.isCurrent());
            }
        };
        watch.setRelaying(true);
        // For polls under way to end, which wait longer.
        await advance(2 * settledMs);
        seen.length = 0;
        await advance(3 * settledMs);
        assert.ok(seen.every(isCurrent => isCurrent), "not current in calm");
        silence(table);
        await advance(noticedWithinMs);
        assert.not(watch.isCurrent());
        watch.stop();
    });
}

for (const table of tables) {
    test(`DENIED, DRAIN: a relay is called current after the answer about the table "${table}" that was arriving has stalled`, async () => {
        const timer = new VirtualTimer();
        const { store } = makeStore(timer, 800);
        const source = (name: string): RecordSource<never> => ({ table: name, decode: () => ({ kind: "unrelated" }) });
        let isLarge = false;
        let lastPartAtMs = Infinity;
        const arriving: RowStore = {
            ...store,
            follow: async (name, after, waitMs, onProgress) => {
                const outcome = await store.follow(name, after, waitMs);
                if (!isLarge || name !== table) {
                    return outcome;
                }
                const cancel = timer.every(100, () => {
                    if (timer.nowMs() <= lastPartAtMs) {
                        onProgress?.();
                    }
                });
                await new Promise<void>(resolve => timer.after(10 * settledMs, resolve));
                cancel();
                return { kind: "unanswered", reason: "stalled" };
            },
        };
        const watch = watchClusterState(
            {
                settings: { bounds: { contactMs: 3_000 } },
                ports: { store: arriving, sources: { configuration: source("op"), upstreams: source("servers") } },
                timer,
                log: silentLog,
                metrics: makeGatewayMetrics(),
                random: () => 0.5,
                onFatalError: assert.unreachable,
            } as unknown as GatewayContext,
            () => false,
        );
        const seen: boolean[] = [];
        const advance = async (durationMs: number): Promise<void> => {
            for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
                timer.advance(stepMs);
                await settlePromises();
                seen.push(watch.isCurrent());
            }
        };
        watch.setRelaying(true);
        await advance(4 * settledMs);
        seen.length = 0;
        isLarge = true;
        await advance(4 * settledMs);
        assert.ok(seen.every(isCurrent => isCurrent), "not current while an answer arrives");
        lastPartAtMs = timer.nowMs();
        await advance(noticedWithinMs);
        assert.not(watch.isCurrent());
        watch.setActive(false);
        watch.setActive(true);
        assert.not(watch.isCurrent(), "current by the bytes of a call from before a suspension");
        watch.stop();
    });
}

test("CONFIG: a silent store no longer confirms the configuration, and its last answer counts from the question", async () => {
    const timer = new VirtualTimer();
    const { store, silence } = makeStore(timer, 800);
    const source: RecordSource<never> = { table: "op", decode: () => ({ kind: "unrelated" }) };
    const stamped: RowStore = {
        ...store,
        follow: async (table, after, waitMs) => {
            const sentAtMs = timer.nowMs();
            const outcome = await store.follow(table, after, waitMs);
            return outcome.kind === "done" ? { ...outcome, stamp: { ...outcome.stamp, sentAtMs } } : outcome;
        },
    };
    const { clusterState, stop } = watchClusterState(
        {
            settings: { bounds: { contactMs: 3_000 } },
            ports: { store: stamped, sources: { configuration: source, upstreams: source } },
            timer,
            log: silentLog,
            metrics: makeGatewayMetrics(),
            random: () => 0.5,
            onFatalError: assert.unreachable,
        } as unknown as GatewayContext,
        () => false,
    );
    const config = { version: 1, routes: [], services: [], bounds: { maxBodyBytes: 1 } } as unknown as ServingConfig;
    clusterState.applyConfiguration(config, "peer");
    const ages: number[] = [];
    const advance = async (durationMs: number): Promise<void> => {
        for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
            timer.advance(stepMs);
            await settlePromises();
            ages.push(timer.nowMs() - clusterState.configurationEvidence()!.confirmedAtMs!);
        }
    };
    await advance(6_000);
    const waitMs = longestWaitMs(3_000, 800);
    // A poll without changes confirms until its wait is over, and nothing newer comes during the wait of the next one.
    assert.ok(Math.max(...ages) <= waitMs + 4 * stepMs, `${Math.max(...ages)} ms`);
    assert.ok(Math.max(...ages) >= waitMs, `${Math.max(...ages)} ms`);
    silence();
    const silentAtMs = timer.nowMs();
    await advance(500);
    assert.ok(clusterState.configurationEvidence()!.confirmedAtMs! <= silentAtMs);
    stop();
});

test.run();
