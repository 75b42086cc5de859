import { type GroupRow } from "@rattanquay/schema";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
    type Candidate,
    type LoadNeed,
    loadOrderPolicies,
    repairOrderPolicies,
    rolloutPolicies,
    spareSelectionPolicies,
} from "..";
import { needOf } from "../repairOrder";
import { breakUpPolicies } from "../weakGroups";

const candidate = (instance: string, cached: boolean): Candidate => ({
    instance,
    address: instance,
    bootId: "b",
    fabricDomain: instance[0]!,
    cachedWeights: cached ? ["m@1"] : [],
});
const domain = (name: string, count: number, cached = 0) =>
    [
        name,
        Array.from({ length: count }, (unused, index) => candidate(`${name}${index}`, index >= count - cached)),
    ] as const;
const group = (name: string, size = 4): GroupRow => ({
    group: name,
    service: "s",
    availabilityZone: "z",
    fabricDomain: "a",
    fence: Number(name.slice(1)),
    model: "m",
    version: "1",
    state: "active",
    members: Array.from({ length: size }, (unused, index) => ({
        instance: `${name}${index}`,
        address: "",
        bootId: "",
    })),
});

const spareCases = [
    {
        name: "the smallest domain that suffices",
        policy: "bestFit",
        free: [domain("a", 7), domain("b", 5)],
        expected: "b0 b1 b2 b3",
    },
    {
        name: "a domain that leaves no remainder",
        policy: "bestFit",
        free: [domain("a", 6), domain("b", 8)],
        expected: "b0 b1 b2 b3",
    },
    {
        name: "cached weights before the smallest remainder",
        policy: "bestFit",
        free: [domain("a", 4), domain("b", 6, 4)],
        expected: "b2 b3 b4 b5",
    },
    {
        name: "nothing from domains too small",
        policy: "bestFit",
        free: [domain("a", 3), domain("b", 3)],
        expected: "none",
    },
    { name: "the first domain", policy: "firstFit", free: [domain("a", 7), domain("b", 4)], expected: "a0 a1 a2 a3" },
] as const;

for (const { name, policy, free, expected } of spareCases) {
    test(`${policy} takes ${name}`, () => {
        const chosen = spareSelectionPolicies[policy](new Map<string, readonly Candidate[]>(free), {
            size: 4,
            weights: "m@1",
            largestSize: 4,
        });
        assert.is(chosen?.map(member => member.instance).join(" ") ?? "none", expected);
    });
}

test("a small group takes instances that no large group can use", () => {
    const free = new Map<string, readonly Candidate[]>([domain("a", 8), domain("b", 10)]);
    const chosen = spareSelectionPolicies.bestFit(free, { size: 2, weights: "m@1", largestSize: 4 });
    assert.equal(chosen?.map(member => member.instance), ["b0", "b1"]);
});

const breakUpCases = [
    {
        name: "one weak group when its survivors and the free instances form a complete group",
        free: 1,
        survivors: [3],
        expected: ["g0"],
    },
    { name: "nothing when no complete group can be formed", free: 0, survivors: [3], expected: [] },
    { name: "the fewest groups, most survivors first", free: 0, survivors: [1, 3, 2], expected: ["g1", "g2"] },
    { name: "nothing without weak groups", free: 9, survivors: [], expected: [] },
];

for (const { name, free, survivors, expected } of breakUpCases) {
    test(`whenUseful dissolves ${name}`, () => {
        const weak = survivors.map((count, index) => ({ group: group(`g${index}`), survivors: count }));
        assert.equal(breakUpPolicies.whenUseful({ free, weak }).map(dissolved => dissolved.group), expected);
    });
}

const rolloutState = { wanted: 20, floor: 10, serving: 20, loading: 0, draining: 0, forming: false };
const rolloutCases = [
    {
        name: "the surplus over the declared replicas",
        state: { ...rolloutState, serving: 23 },
        surgeFirst: 3,
        toFloor: 13,
    },
    { name: "a tenth when no instances are free", state: rolloutState, surgeFirst: 2, toFloor: 10 },
    { name: "nothing while new groups load", state: { ...rolloutState, loading: 1 }, surgeFirst: 0, toFloor: 10 },
    { name: "nothing while other groups drain", state: { ...rolloutState, draining: 1 }, surgeFirst: 0, toFloor: 10 },
    {
        name: "nothing while new groups are being formed",
        state: { ...rolloutState, forming: true },
        surgeFirst: 0,
        toFloor: 10,
    },
    { name: "nothing at the floor", state: { ...rolloutState, serving: 10 }, surgeFirst: 0, toFloor: 0 },
];

for (const { name, state, surgeFirst, toFloor } of rolloutCases) {
    test(`a rollout drains ${name}`, () => {
        assert.equal([rolloutPolicies.surgeFirst(state), rolloutPolicies.toFloor(state)], [surgeFirst, toFloor]);
    });
}

const need = (name: string, lack: number, priority: number, uncached: number): LoadNeed => ({
    group: group(name),
    missingShare: lack,
    priority,
    uncachedMembers: uncached,
});
const loadNeeds = [need("g1", 0.1, 5, 4), need("g2", 0.5, 5, 4), need("g3", 0.5, 9, 4), need("g4", 0, 1, 0)];

test("groups load in order of cached weights, then missing share, then priority; the baseline by age", () => {
    const order = (needs: readonly LoadNeed[]): string => needs.map(({ group: { group: name } }) => name).join(" ");
    assert.is(order(loadOrderPolicies.cachedThenMostLacking(loadNeeds)), "g4 g3 g2 g1");
    assert.is(order(loadOrderPolicies.firstFormed([...loadNeeds].reverse())), "g1 g2 g3 g4");
});

test("the service with the largest missing share is repaired first; the baseline goes by declaration", () => {
    const needs = [
        needOf({ service: "large", declared: 60, present: 58, missing: 2, priority: 9 }),
        needOf({ service: "small", declared: 3, present: 2, missing: 1, priority: 1 }),
    ];
    assert.equal(repairOrderPolicies.mostLacking(needs).map(({ service }) => service), ["small", "large"]);
    assert.equal(repairOrderPolicies.firstDeclared(needs).map(({ service }) => service), ["large", "small"]);
});

test.run();
