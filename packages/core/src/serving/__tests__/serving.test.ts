/** Table-driven tests of the decisions about one request. */
import { type ServingConfig, type ServingRoute } from "@rattanquay/schema";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
    type AttemptFailure,
    chooseService,
    chooseUpstream,
    consumesRetryBudget,
    countAttempt,
    endingOfAttempts,
    makeEventSequence,
    makeEventSplitter,
    makeRouteTable,
    makeSharedRetryBudget,
    mayRetryRequest,
    noAttemptsYet,
    type PlacementCandidate,
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
    test(`route lookup: ${name}`, () => {
        assert.is(makeRouteTable(config).findRoute(host, path)?.name, expected);
    });
}

test("each key maps to its workspace, and an unknown key to none", () => {
    const table = makeRouteTable(config);
    assert.equal(["k1", "k2", "k3", ""].map(key => table.findWorkspace(key)?.workspace), [
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
    test(`a route with several targets chooses by weight, random number ${random}`, () => {
        const targets = [{ service: "a", weight: 90 }, { service: "b", weight: 10 }];
        assert.is(chooseService(route("r", "/", { targets }), random), expected);
    });
}

type AttemptCase = {
    readonly name: string;
    readonly failures: readonly AttemptFailure[];
    readonly isRepeatable: boolean;
    readonly mayRetry: boolean;
    readonly ending: string;
    readonly usesRetryBudget: boolean;
};
const attemptCases: readonly AttemptCase[] = [
    {
        name: "no byte was sent",
        failures: ["unreached"],
        isRepeatable: false,
        mayRetry: true,
        ending: "notRun",
        usesRetryBudget: false,
    },
    {
        name: "rejected",
        failures: ["rejected"],
        isRepeatable: false,
        mayRetry: true,
        ending: "notRun",
        usesRetryBudget: true,
    },
    {
        name: "may have been executed",
        failures: ["inDoubt"],
        isRepeatable: false,
        mayRetry: false,
        ending: "unknown",
        usesRetryBudget: true,
    },
    {
        name: "failed",
        failures: ["failed"],
        isRepeatable: false,
        mayRetry: false,
        ending: "unknown",
        usesRetryBudget: true,
    },
    {
        name: "may have been executed, and can be repeated",
        failures: ["inDoubt"],
        isRepeatable: true,
        mayRetry: true,
        ending: "unknown",
        usesRetryBudget: true,
    },
    {
        name: "the maximum number of attempts was made",
        failures: ["inDoubt", "failed"],
        isRepeatable: true,
        mayRetry: false,
        ending: "unknown",
        usesRetryBudget: true,
    },
    {
        name: "rejected after an attempt that may have been executed",
        failures: ["inDoubt", "rejected"],
        isRepeatable: false,
        mayRetry: false,
        ending: "unknown",
        usesRetryBudget: true,
    },
    {
        name: "rejected more often than the limit",
        failures: ["rejected", "rejected", "rejected", "rejected"],
        isRepeatable: true,
        mayRetry: false,
        ending: "notRun",
        usesRetryBudget: true,
    },
];
for (const { name, failures, isRepeatable, mayRetry, ending, usesRetryBudget } of attemptCases) {
    test(`attempts: ${name}`, () => {
        const attempts = failures.reduce(countAttempt, noAttemptsYet);
        assert.is(mayRetryRequest(attempts, { isRepeatable, maxAttempts: 2 }), mayRetry);
        assert.is(endingOfAttempts(attempts), ending);
        assert.is(consumesRetryBudget(attempts), usesRetryBudget);
    });
}

test("all instances together stay within the retry budget without communicating", () => {
    const instances = 15;
    const bounds = { ratio: 0.2, extra: 225, windowMs: 10_000 };
    const budgets = Array.from({ length: instances }, () => makeSharedRetryBudget(bounds));
    const retriesAtMs: number[] = [];
    let requests = 0;
    for (let nowMs = 0; nowMs < 30_000; nowMs += 100) {
        budgets.forEach(budget => {
            requests++;
            budget.noteRequest(nowMs);
            for (let attempt = 0; attempt < 3; attempt++) {
                if (budget.trySpend(nowMs, instances)) {
                    retriesAtMs.push(nowMs);
                }
            }
        });
    }
    const inWindow = (fromMs: number): number =>
        retriesAtMs.filter(atMs => atMs >= fromMs && atMs < fromMs + 10_000).length;
    const mostRetries = Math.max(...Array.from({ length: 200 }, (unused, index) => inWindow(index * 100)));
    const requestsInWindow = requests / 3;
    assert.ok(mostRetries <= bounds.ratio * requestsInWindow + bounds.extra, `${mostRetries} retries in a window`);
    assert.ok(
        mostRetries > 0.6 * (bounds.ratio * requestsInWindow + bounds.extra),
        `${mostRetries} retries in a window`,
    );
});

const orderCases = [
    { name: "in order", after: undefined, runs: [[1, 2, 3]], passed: [1, 2, 3], ends: "pass" },
    { name: "after the last event that the caller received", after: 7, runs: [[8, 9]], passed: [8, 9], ends: "pass" },
    {
        name: "ids that leave numbers out",
        after: undefined,
        runs: [[2, 3, 7, 40]],
        passed: [2, 3, 7, 40],
        ends: "pass",
    },
    { name: "a first id of 0", after: undefined, runs: [[0, 1]], passed: [0, 1], ends: "pass" },
    { name: "a duplicate", after: undefined, runs: [[1, 1, 2]], passed: [1, 2], ends: "pass" },
    { name: "ids that go back within a run", after: undefined, runs: [[1, 5, 3]], passed: [1, 5], ends: "disorder" },
    { name: "ids that go back among repeats", after: 9, runs: [[5, 4]], passed: [], ends: "disorder" },
    { name: "an id that is no exact number", after: undefined, runs: [[1, 2 ** 53]], passed: [1], ends: "disorder" },
    {
        name: "a run that goes on",
        after: undefined,
        runs: [[10, 20], [30, 50]],
        passed: [10, 20, 30, 50],
        ends: "pass",
    },
    {
        name: "a run that repeats",
        after: undefined,
        runs: [[10, 20], [10, 20, 25]],
        passed: [10, 20, 25],
        ends: "pass",
    },
    { name: "a run that only repeats", after: 4, runs: [[5], [1, 2, 5]], passed: [5], ends: "drop" },
    { name: "an event without an id", after: undefined, runs: [[undefined, 1]], passed: [undefined, 1], ends: "pass" },
];
for (const { name, after, runs, passed, ends } of orderCases) {
    test(`event order: ${name}`, () => {
        const order = makeEventSequence(after);
        const decided = runs.flatMap(ids => {
            const checkNext = order.startRun();
            return ids.map(id => ({ id, decision: checkNext(id) }));
        });
        assert.equal(decided.filter(({ decision }) => decision === "pass").map(({ id }) => id), passed);
        assert.is(decided.at(-1)!.decision, ends);
        assert.is(order.lastId(), passed.at(-1) ?? after);
    });
}

const splitterCases = [
    { name: "whole events", chunks: ["id: 1\ndata: a\n\nid: 2\ndata: b\n\n"], ids: [1, 2], rest: false },
    { name: "events split across chunks", chunks: ["id", ": 1\nda", "ta: a\n", "\nid: 2\n"], ids: [1], rest: true },
    { name: "carriage returns", chunks: ["id: 1\r\ndata: a\r\n\r\n"], ids: [1], rest: false },
    { name: "a line before the id", chunks: ["weight-versions: 2\nid: 5\ndata: a\n\n"], ids: [5], rest: false },
    { name: "a comment", chunks: [": ping\n\n"], ids: [undefined], rest: false },
];
for (const { name, chunks, ids, rest } of splitterCases) {
    test(`event splitter: ${name}`, () => {
        const splitter = makeEventSplitter();
        const events = chunks.flatMap(splitter.push);
        assert.equal(events.map(({ id }) => id), ids);
        assert.is(splitter.hasPartialEvent(), rest);
        assert.is(events.map(({ bytes }) => bytes).join(""), rest ? "id: 1\ndata: a\n\n" : chunks.join(""));
    });
}

const candidate = (id: string, load: number, extra: Partial<PlacementCandidate> = {}): PlacementCandidate => ({
    id,
    slots: 12,
    load,
    isLocal: true,
    isConnected: false,
    isStalled: false,
    ...extra,
});
const placementCases = [
    { name: "the least predicted time", candidates: [candidate("a", 9), candidate("b", 2)], expected: "b" },
    {
        name: "no stalled candidate if there is another",
        candidates: [candidate("a", 9), candidate("b", 0, { isStalled: true })],
        expected: "a",
    },
    {
        name: "a stalled candidate if there is no other",
        candidates: [candidate("b", 0, { isStalled: true })],
        expected: "b",
    },
    {
        name: "the local zone at equal load",
        candidates: [candidate("a", 3, { isLocal: false }), candidate("b", 3)],
        expected: "b",
    },
    {
        name: "another zone if the local one is much busier",
        candidates: [candidate("a", 1, { isLocal: false }), candidate("b", 9)],
        expected: "a",
    },
    {
        name: "a candidate with an idle connection at about equal load",
        candidates: [candidate("a", 3), candidate("b", 3.5, { isConnected: true })],
        expected: "b",
    },
    {
        name: "a candidate without a connection if the other is busier",
        candidates: [candidate("a", 3), candidate("b", 5, { isConnected: true })],
        expected: "a",
    },
    { name: "none without candidates", candidates: [], expected: undefined },
];
for (const { name, candidates, expected } of placementCases) {
    test(`placement: ${name}`, () => {
        const predict = ({ load }: PlacementCandidate): number => load * 10;
        assert.is(chooseUpstream({ candidates, predict, random: () => 0 })?.id, expected);
    });
}

test.run();
