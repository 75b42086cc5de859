import { test } from "uvu";
import * as assert from "uvu/assert";
import {
    makeConcurrencyLimit,
    makeFairQueue,
    makeLengthEstimator,
    makeShortWorkReserve,
    makeWaitEstimator,
    makeWorkspaceUsage,
    type Queueable,
} from "../index";

const hint = { workspace: "installers", kind: "diagnosis", maxTokens: 1_000 };
const lengthCases = [
    { name: "half of the token limit for an unknown kind", learnt: [], expected: [500, 500] },
    { name: "the observed length", learnt: [40], expected: [40, 40] },
    {
        name: "follows a change within about ten answers",
        learnt: [40, 40, ...Array(12).fill(400)],
        expected: [300, 400],
    },
    { name: "never above the token limit", learnt: [5_000], expected: [1_000, 1_000] },
];
for (const { name, learnt, expected: [least, most] } of lengthCases) {
    test(`expected length: ${name}`, () => {
        const lengths = makeLengthEstimator();
        learnt.forEach(tokens => lengths.observe(hint, tokens));
        const tokens = lengths.estimate(hint);
        assert.ok(tokens >= least! && tokens <= most!, `${tokens}`);
    });
}

test("expected length: kinds and workspaces are kept apart, within a bound", () => {
    const lengths = makeLengthEstimator();
    Array.from({ length: 3_000 }, (unused, index) => lengths.observe({ ...hint, kind: `kind ${index}` }, 10));
    assert.is(lengths.size(), 2_048);
    assert.is(lengths.estimate({ ...hint, workspace: "inspectors", kind: "kind 2999" }), 500);
    assert.is(lengths.estimate({ ...hint, kind: "kind 2999" }), 10);
});

const item = (id: string, workspace: string, share = 1, priority = 0): Queueable => ({
    id,
    workspace,
    share,
    priority,
});
const orderCases = [
    { name: "arrival within a workspace", items: [item("a", "w"), item("b", "w")], expected: "ab" },
    {
        name: "a small workspace is interleaved with a large one",
        items: [item("a", "w"), item("b", "w"), item("c", "w"), item("d", "v")],
        expected: "adbc",
    },
    {
        name: "twice the share, twice the places",
        items: [..."abc"].map(id => item(id, "w")).concat([..."defg"].map(id => item(id, "v", 2))),
        expected: "adebfgc",
    },
    { name: "priority first", items: [item("a", "w"), item("b", "w", 1, 3)], expected: "ba" },
];
for (const { name, items, expected } of orderCases) {
    test(`queue order: ${name}`, () => {
        const queue = makeFairQueue<Queueable>();
        items.forEach(queue.push);
        let order = "";
        for (let next = queue.startFirst(() => true); next !== undefined; next = queue.startFirst(() => true)) {
            order += next.id;
        }
        assert.is(order, expected);
    });
}

/** An engine step of 16 ms plus 1 ms per sequence: 49.4 ms (95% of the 52 ms target) is reached at 33 sequences. */
const step = (running: number): readonly [number, number] => [running, 16 + running];
test("queue order: removed items are not charged to their workspace", () => {
    const queue = makeFairQueue<Queueable>();
    [item("a", "w"), item("b", "w"), item("c", "w"), item("d", "v"), item("e", "v"), item("g", "v")].forEach(
        queue.push,
    );
    queue.remove(({ id }) => id === "a" || id === "b");
    queue.push(item("f", "w"));
    const order = Array.from({ length: 5 }, () => queue.startFirst(() => true)!.id).join("");
    assert.is(order, "dcefg");
});

const limitCases = [
    {
        name: "as declared until there are enough samples",
        declared: 64,
        samples: [step(8)],
        times: 10,
        expected: [64, 64],
    },
    {
        name: "predicted by regression before that load was reached",
        declared: 64,
        samples: [4, 6, 8, 12].map(step),
        times: 20,
        expected: [32, 35],
    },
    {
        name: "decreases when the target is missed",
        declared: 64,
        samples: [50, 56, 60].map(step),
        times: 20,
        expected: [32, 35],
    },
    {
        name: "decreases in proportion while there is no regression slope",
        declared: 16,
        samples: [[16, 80]],
        times: 60,
        expected: [9, 11],
    },
    {
        name: "an idle replica keeps its limit",
        declared: 16,
        samples: [1, 2, 3].map(step),
        times: 60,
        expected: [16, 16],
    },
    {
        name: "never above the declared concurrency",
        declared: 20,
        samples: [18, 19, 20].map(step),
        times: 60,
        expected: [20, 20],
    },
    { name: "never below the minimum", declared: 16, samples: [[16, 5_000]], times: 60, expected: [4, 4] },
];
for (const { name, declared, samples, times, expected: [least, most] } of limitCases) {
    test(`concurrency limit: ${name}`, () => {
        const limit = makeConcurrencyLimit({ declared, targetMs: 52 });
        Array.from({ length: times }, () => samples.forEach(([running, ms]) => limit.observe(running!, ms!)));
        assert.ok(limit.limit() >= least! && limit.limit() <= most!, `${limit.limit()}`);
    });
}

const reserveCases = [
    { name: "a tenth is reserved without short work", shortRunning: 0, places: 20, atMs: 0, expected: 18 },
    { name: "as many as short work has used", shortRunning: 6, places: 20, atMs: 0, expected: 14 },
    { name: "at most half", shortRunning: 19, places: 20, atMs: 0, expected: 10 },
    { name: "a peak decays", shortRunning: 6, places: 20, atMs: 60_000, expected: 18 },
    { name: "long work has at least one place", shortRunning: 1, places: 1, atMs: 0, expected: 1 },
    { name: "no places, none for long work", shortRunning: 0, places: 0, atMs: 0, expected: 0 },
];
for (const { name, shortRunning, places, atMs, expected } of reserveCases) {
    test(`places for long work: ${name}`, () => {
        const reserve = makeShortWorkReserve();
        reserve.observe(shortRunning, 0);
        assert.is(reserve.longPlaces(places, atMs), expected);
    });
}

const usageCases = [
    { name: "a single workspace", starts: "llll", asked: "l", share: 1, atMs: 0, expected: false },
    { name: "a new workspace beside another", starts: "llll", asked: "s", share: 1, atMs: 0, expected: true },
    { name: "the workspace with most starts", starts: "llls", asked: "l", share: 1, atMs: 0, expected: false },
    {
        name: "twice the starts for three times the share",
        starts: "lls",
        asked: "l",
        share: 3,
        atMs: 0,
        expected: true,
    },
    { name: "old starts are ignored", starts: "llll", asked: "s", share: 1, atMs: 60_000, expected: false },
];
for (const { name, starts, asked, share, atMs, expected } of usageCases) {
    test(`below its share: ${name}`, () => {
        const usage = makeWorkspaceUsage();
        [...starts].forEach(workspace => usage.recordStart(item("i", workspace), 0));
        assert.is(usage.isUnderShare(item("i", asked, share), atMs), expected);
    });
}

test("the wait follows from the queue position and the mean holding time", () => {
    const estimator = makeWaitEstimator();
    assert.is(estimator.waitMs(5, 10), 0);
    estimator.observe(1_000);
    assert.is(estimator.waitMs(9, 10), 1_000);
});

test.run();
