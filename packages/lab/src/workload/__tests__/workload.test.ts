import { test } from "uvu";
import * as assert from "uvu/assert";
import { makeSchedule, meanTokens, rateAt, Workload } from "../index";

const workload = Workload.parse({
    arrivals: [{ atSeconds: 10, perSecond: 20 }, { atSeconds: 20, shareOfCapacity: 2 }],
    kinds: {
        short: { weight: 9, answerTokens: { kind: "uniform", from: 2, to: 6 }, maxTokens: 5 },
        long: {
            weight: 1,
            work: "long",
            answerTokens: { kind: "lognormal", median: 100, sigma: 1, most: 300 },
            maxTokens: 200,
        },
    },
    workspaces: { large: { weight: 3 }, small: { weight: 1 } },
});
const options = { seed: 3, seconds: 40, capacityPerSecond: 50 };

const rateCases = [
    { name: "before the first point", atSeconds: 0, expected: 20 },
    { name: "half way between two points", atSeconds: 15, expected: 60 },
    { name: "after the last point", atSeconds: 99, expected: 100 },
];
for (const { name, atSeconds, expected } of rateCases) {
    test(`the arrival rate ${name}`, () => {
        assert.is(rateAt(workload, atSeconds, 50), expected);
    });
}

test("the same seed gives the same calls, and another seed gives different calls", () => {
    assert.equal(makeSchedule(workload, options), makeSchedule(workload, options));
    assert.not.equal(makeSchedule(workload, { ...options, seed: 4 }), makeSchedule(workload, options));
});

const countCases = [
    { name: "calls before the rate rises", matches: { fromMs: 0, toMs: 10_000 }, expected: 200 },
    { name: "calls after the rate has risen", matches: { fromMs: 20_000, toMs: 40_000 }, expected: 2_000 },
    { name: "long calls", matches: { kind: "long" }, expected: 280 },
    { name: "calls of the small workspace", matches: { workspace: "small" }, expected: 700 },
];
for (const { name, matches, expected } of countCases) {
    test(`the schedule holds the expected number of ${name}`, () => {
        const { fromMs = 0, toMs = Infinity, kind, workspace } = matches as {
            readonly fromMs?: number;
            readonly toMs?: number;
            readonly kind?: string;
            readonly workspace?: string;
        };
        const count = makeSchedule(workload, options).filter(call =>
            call.atMs >= fromMs && call.atMs < toMs && (kind ?? call.kind) === call.kind
            && (workspace ?? call.workspace) === call.workspace
        ).length;
        assert.ok(Math.abs(count - expected) < expected * 0.2, `${count}`);
    });
}

test("answers do not exceed the limit that their callers send", () => {
    assert.ok(makeSchedule(workload, options).every(({ answerTokens, maxTokens }) => answerTokens <= maxTokens));
    assert.ok(Math.abs(meanTokens(workload).prompt - 30) < 0.001);
});

const invalidCases = [
    { name: "no arrivals", given: { arrivals: [], kinds: workload.kinds } },
    { name: "no kinds", given: { arrivals: workload.arrivals, kinds: {} } },
    { name: "an unknown key", given: { arrivals: [{ atSeconds: 0, rate: 3 }], kinds: workload.kinds } },
];
for (const { name, given } of invalidCases) {
    test(`a workload with ${name} is invalid`, () => {
        assert.is(Workload.safeParse(given).success, false);
    });
}

test.run();
