/** Decisions about one request, as tables of cases. */
import { type ServingConfig, type ServingRoute } from "@rattanquay/schema";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
    afterSend,
    chooseService,
    endingOfSends,
    isRepeat,
    makeEventOrder,
    makeRepeatBudget,
    makeRouteTable,
    maySendAgain,
    noSends,
    place,
    type PlacingCandidate,
    type SendFailure,
} from "../index";

const route = (name: string, prefix: string, extra: Partial<ServingRoute> = {}): ServingRoute => ({
    name,
    hostname: "Calls.example",
    prefix,
    kind: "idempotent",
    timeoutMs: 1_000,
    objectiveMs: 200,
    priority: 1,
    targets: [{ service: "s", weight: 1 }],
    maxAttempts: 2,
    isPublic: false,
    isResumable: false,
    ...extra,
});
const config: ServingConfig = {
    version: 1,
    routes: [route("short", "/a/"), route("long", "/a/b/")],
    services: [],
    bounds: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    workspaces: [{ workspace: "alpha", keys: ["k1", "k2"] }],
};

const routeCases = [
    { name: "the longest prefix wins", host: "calls.example", path: "/a/b/c", expected: "long" },
    { name: "a prefix ends with a slash", host: "calls.example", path: "/a/bc", expected: "short" },
    { name: "the query is no part of the path", host: "calls.example", path: "/a/?x=/a/b/", expected: "short" },
    { name: "a port in the host", host: "calls.example:80", path: "/a/", expected: "short" },
    { name: "another host", host: "other.example", path: "/a/", expected: undefined },
    { name: "no host", host: undefined, path: "/a/", expected: undefined },
];
for (const { name, host, path, expected } of routeCases) {
    test(`a route is found: ${name}`, () => {
        assert.is(makeRouteTable(config).findRoute(host, path)?.name, expected);
    });
}

test("every key names its workspace, and no other does", () => {
    const table = makeRouteTable(config);
    assert.equal(["k1", "k2", "k3", ""].map(key => table.workspaceOfKey(key)?.workspace), [
        "alpha",
        "alpha",
        undefined,
        undefined,
    ]);
});

const splitCases = [
    { random: 0, expected: "a" },
    { random: 0.89, expected: "a" },
    { random: 0.91, expected: "b" },
    { random: 0.999, expected: "b" },
];
for (const { random, expected } of splitCases) {
    test(`a split route chooses by weight at ${random}`, () => {
        const targets = [{ service: "a", weight: 90 }, { service: "b", weight: 10 }];
        assert.is(chooseService(route("r", "/", { targets }), random), expected);
    });
}

type SendCase = {
    readonly name: string;
    readonly failures: readonly SendFailure[];
    readonly isRepeatable: boolean;
    readonly again: boolean;
    readonly ending: string;
    readonly repeat: boolean;
};
const sendCases: readonly SendCase[] = [
    {
        name: "nothing went out",
        failures: ["unreached"],
        isRepeatable: false,
        again: true,
        ending: "notRun",
        repeat: false,
    },
    {
        name: "it was declined",
        failures: ["rejected"],
        isRepeatable: false,
        again: true,
        ending: "notRun",
        repeat: true,
    },
    {
        name: "it may have run",
        failures: ["inDoubt"],
        isRepeatable: false,
        again: false,
        ending: "unknown",
        repeat: true,
    },
    { name: "it failed", failures: ["failed"], isRepeatable: false, again: false, ending: "unknown", repeat: true },
    {
        name: "a repeatable one in doubt",
        failures: ["inDoubt"],
        isRepeatable: true,
        again: true,
        ending: "unknown",
        repeat: true,
    },
    {
        name: "two runs are the most",
        failures: ["inDoubt", "failed"],
        isRepeatable: true,
        again: false,
        ending: "unknown",
        repeat: true,
    },
    {
        name: "declined after a doubt",
        failures: ["inDoubt", "rejected"],
        isRepeatable: false,
        again: false,
        ending: "unknown",
        repeat: true,
    },
    {
        name: "declined by many",
        failures: ["rejected", "rejected", "rejected", "rejected"],
        isRepeatable: true,
        again: false,
        ending: "notRun",
        repeat: true,
    },
];
for (const { name, failures, isRepeatable, again, ending, repeat } of sendCases) {
    test(`sends: ${name}`, () => {
        const sends = failures.reduce(afterSend, noSends);
        assert.is(maySendAgain(sends, { isRepeatable, maxAttempts: 2 }), again);
        assert.is(endingOfSends(sends), ending);
        assert.is(isRepeat(sends), repeat);
    });
}

test("all instances together stay within the budget of repeats, though none hears another", () => {
    const instances = 15;
    const bounds = { ratio: 0.2, extra: 225, windowMs: 10_000 };
    const budgets = Array.from({ length: instances }, () => makeRepeatBudget(bounds));
    const granted: number[] = [];
    let requests = 0;
    for (let nowMs = 0; nowMs < 30_000; nowMs += 100) {
        budgets.forEach(budget => {
            requests++;
            budget.noteRequest(nowMs);
            for (let tries = 0; tries < 3; tries++) {
                if (budget.spend(nowMs, instances)) {
                    granted.push(nowMs);
                }
            }
        });
    }
    const inWindow = (fromMs: number): number =>
        granted.filter(atMs => atMs >= fromMs && atMs < fromMs + 10_000).length;
    const worst = Math.max(...Array.from({ length: 200 }, (unused, index) => inWindow(index * 100)));
    const requestsInWindow = requests / 3;
    assert.ok(worst <= bounds.ratio * requestsInWindow + bounds.extra, `${worst} repeats in a window`);
    assert.ok(worst > 0.6 * (bounds.ratio * requestsInWindow + bounds.extra), `${worst} repeats in a window`);
});

const orderCases = [
    { name: "in order", after: undefined, ids: [1, 2, 3], verdicts: ["pass", "pass", "pass"], last: 3 },
    { name: "behind the caller's last", after: 7, ids: [8, 9], verdicts: ["pass", "pass"], last: 9 },
    { name: "twice", after: undefined, ids: [1, 1, 2], verdicts: ["pass", "drop", "pass"], last: 2 },
    { name: "one is missing", after: undefined, ids: [1, 3], verdicts: ["pass", "gap"], last: 1 },
    { name: "the first is missing", after: undefined, ids: [2], verdicts: ["gap"], last: undefined },
    { name: "unnumbered", after: undefined, ids: [undefined, 1], verdicts: ["pass", "pass"], last: 1 },
];
for (const { name, after, ids, verdicts, last } of orderCases) {
    test(`events: ${name}`, () => {
        const order = makeEventOrder(after);
        assert.equal(ids.map(order.judge), verdicts);
        assert.is(order.lastId(), last);
    });
}

const candidate = (id: string, load: number, extra: Partial<PlacingCandidate> = {}): PlacingCandidate => ({
    id,
    slots: 12,
    load,
    own: 0,
    isLocal: true,
    isConnected: false,
    isStalled: false,
    ...extra,
});
const placingCases = [
    { name: "the least predicted time", candidates: [candidate("a", 9), candidate("b", 2)], expected: "b" },
    {
        name: "not one that stalls",
        candidates: [candidate("a", 9), candidate("b", 0, { isStalled: true })],
        expected: "a",
    },
    {
        name: "one that stalls if there is no other",
        candidates: [candidate("b", 0, { isStalled: true })],
        expected: "b",
    },
    {
        name: "the own zone at equal load",
        candidates: [candidate("a", 3, { isLocal: false }), candidate("b", 3)],
        expected: "b",
    },
    {
        name: "another zone if the own is much busier",
        candidates: [candidate("a", 1, { isLocal: false }), candidate("b", 9)],
        expected: "a",
    },
    {
        name: "one with an idle connection at about equal load",
        candidates: [candidate("a", 3), candidate("b", 3.5, { isConnected: true })],
        expected: "b",
    },
    {
        name: "one without a connection if the other is busier",
        candidates: [candidate("a", 3), candidate("b", 5, { isConnected: true })],
        expected: "a",
    },
    {
        name: "one where no own request is, since others will have sent theirs too",
        candidates: [candidate("a", 3, { own: 2 }), candidate("b", 5)],
        expected: "b",
    },
    { name: "nothing of nothing", candidates: [], expected: undefined },
];
for (const { name, candidates, expected } of placingCases) {
    test(`placing: ${name}`, () => {
        const predict = ({ load }: PlacingCandidate): number => load * 10;
        assert.is(place({ candidates, predict, random: () => 0 })?.id, expected);
    });
}

test.run();
