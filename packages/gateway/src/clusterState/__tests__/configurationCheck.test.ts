/** Guards against questions to the store without bound, and against requests that wait for an answer that doesn't come. */
import { VirtualTimer } from "@rattanquay/timer";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { type ConfigurationSources, makeConfigurationCheck } from "../configurationCheck";

const stepMs = 10;

type Behavior = { readonly readsStore: boolean; readonly store: Answer; readonly relays: Answer };
/** After how long a source confirms the configuration or refuses to; it never answers without a time. */
type Answer = { readonly confirms: boolean; readonly afterMs?: number };

function makeCheck({ readsStore, store, relays }: Behavior) {
    const timer = new VirtualTimer();
    timer.advance(10_000);
    let confirmedAtMs = 0;
    const asked = { store: 0, relays: 0 };
    const answer = (source: "store" | "relays", { confirms, afterMs }: Answer) => () =>
        new Promise<boolean>(resolve => {
            asked[source]++;
            const askedAtMs = timer.nowMs();
            if (afterMs !== undefined) {
                timer.after(afterMs, () => {
                    confirmedAtMs = confirms ? askedAtMs : confirmedAtMs;
                    resolve(confirms);
                });
            }
        });
    const sources: ConfigurationSources = {
        readsStore: () => readsStore,
        askStore: answer("store", store),
        askRelays: async () => await answer("relays", relays)() ? "confirmed" : "unconfirmed",
    };
    const configurationEvidence = () => ({
        version: 7,
        origin: "store" as const,
        inForceSinceMs: 0,
        confirmedAtMs,
        newestKnownVersion: 7,
    });
    const check = makeConfigurationCheck({ configurationEvidence }, timer, sources);
    const advance = async (ms: number, onStep: () => void = () => undefined): Promise<void> => {
        for (let passedMs = 0; passedMs < ms; passedMs += stepMs) {
            onStep();
            timer.advance(stepMs);
            for (let turn = 0; turn < 8; turn++) {
                await Promise.resolve();
            }
        }
    };
    return { check, asked, advance, timer };
}

const quick: Answer = { confirms: true, afterMs: 20 };
const refused: Answer = { confirms: false, afterMs: 20 };
const silent: Answer = { confirms: false };
const cases: readonly {
    readonly name: string;
    readonly behavior: Behavior;
    readonly isConfirmed: boolean;
    /** Until a request that waits is answered. */
    readonly withinMs: number;
    readonly asked: { readonly store: number; readonly relays: number };
}[] = [
    {
        name: "a process that reads the store asks only the store",
        behavior: { readsStore: true, store: quick, relays: quick },
        isConfirmed: true,
        withinMs: 50,
        asked: { store: 1, relays: 0 },
    },
    {
        name: "a process behind relays asks only them if they answer",
        behavior: { readsStore: false, store: quick, relays: quick },
        isConfirmed: true,
        withinMs: 50,
        asked: { store: 0, relays: 1 },
    },
    {
        name: "it asks the store when the relays don't answer",
        behavior: { readsStore: false, store: quick, relays: silent },
        isConfirmed: true,
        withinMs: 250,
        asked: { store: 1, relays: 1 },
    },
    {
        name: "it asks the store when the relays can't confirm it",
        behavior: { readsStore: false, store: quick, relays: refused },
        isConfirmed: true,
        withinMs: 70,
        asked: { store: 1, relays: 1 },
    },
    {
        name: "nobody answers",
        behavior: { readsStore: false, store: silent, relays: silent },
        isConfirmed: false,
        withinMs: 420,
        asked: { store: 1, relays: 1 },
    },
    {
        name: "the store refuses",
        behavior: { readsStore: true, store: refused, relays: silent },
        isConfirmed: false,
        withinMs: 50,
        asked: { store: 1, relays: 0 },
    },
];
for (const { name, behavior, isConfirmed, withinMs, asked: expected } of cases) {
    test(`DENIED: ${name}`, async () => {
        const { check, asked, advance } = makeCheck(behavior);
        assert.not(check.isConfirmed());
        let waiting = 3;
        for (let request = 0; request < 3; request++) {
            void check.confirm().then(() => waiting--);
        }
        await advance(withinMs);
        assert.is(waiting, 0);
        assert.is(check.isConfirmed(), isConfirmed);
        assert.equal(asked, expected);
    });
}

const floodMs = 10_000;
for (const store of [quick, refused, { confirms: true, afterMs: 300 }]) {
    const does = store.confirms ? `answers after ${store.afterMs} ms` : "refuses";
    test(`DENIED: a flood of wrong keys asks a store that ${does} once a second`, async () => {
        const { check, asked, advance } = makeCheck({ readsStore: true, store, relays: silent });
        await advance(floodMs, () => check.isConfirmed() || void check.confirm());
        assert.ok(asked.store <= floodMs / 1_000 + 1, `${asked.store} questions`);
        assert.ok(asked.store >= floodMs / 1_000 - 1, `${asked.store} questions`);
    });
}

test.run();
