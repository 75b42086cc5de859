/** How soon a process reads the store again after its connections went silent without an error. */
import { silentLog } from "@rattanquay/telemetry";
import { VirtualTimer } from "@rattanquay/timer";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { type GatewayContext } from "../../gatewayContext";
import { makeGatewayMetrics } from "../../metrics";
import { type RecordSource, type RowStore, type StoreOutcome } from "../../ports";
import { watchClusterState } from "../watchClusterState";

const stepMs = 5;
/** Longer than the pauses between polls. */
const settledMs = 1_000;
/** Left for the read over a new connection, and for relays to pass on what it brings. */
const marginMs = 400;
/** More than the promises that one call to the store resolves one after another. */
const promiseDepth = 20;
const tables = ["op", "servers"];

/** A store without changes, whose polls never get an answer if they began before it was silenced. */
function makeStore(timer: VirtualTimer, followSlackMs: number) {
    let silencedAtMs = Infinity;
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
            if (beganAtMs <= silencedAtMs && timer.nowMs() > silencedAtMs) {
                return later(followSlackMs, () => ({ kind: "unanswered", reason: "silent" }));
            }
            return done();
        },
        write: async () => done(),
    };
    return { store, silence: () => silencedAtMs = timer.nowMs(), answeredAtMs };
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

test.run();
