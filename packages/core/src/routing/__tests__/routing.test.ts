import { test } from "uvu";
import * as assert from "uvu/assert";
import { placeBudget } from "../../admission";
import {
    chooseReplica,
    type Job,
    makeDispatcher,
    makeOutlierDetector,
    makeReplicaLoad,
    type Replica,
    type ReplicaState,
} from "../index";

const replica = (name: string, extra: Partial<Replica> = {}): Replica => ({
    replica: name,
    address: name,
    availabilityZone: "a",
    fence: 1,
    concurrency: 8,
    ...extra,
});
const reported = (running: number, ageMs: number) => ({ reported: { running, waiting: 0, ageMs } });

const part = (limit: number, total?: number, own = 0) => ({
    limit,
    recent: total === undefined ? undefined : { total, own },
});
const budgetCases = [
    { name: "equal shares without reports", parts: [part(16), part(16)], peers: 4, expected: 8 },
    { name: "at least one place", parts: [part(16)], peers: 40, expected: 1 },
    { name: "none without replicas", parts: [], peers: 4, expected: 0 },
    {
        name: "own load, a part of the free places, and a burst while replicas have headroom",
        parts: [part(16, 8, 3)],
        peers: 4,
        expected: 7,
    },
    { name: "no burst when the replicas are full", parts: [part(16, 16, 4)], peers: 4, expected: 4 },
    { name: "gives up its part of an overload", parts: [part(16, 24, 4)], peers: 4, expected: 2 },
    {
        name: "converges to an equal share when the replicas are full",
        parts: [part(64, 64, 26)],
        peers: 4,
        expected: 20,
    },
    {
        name: "keeps half of an equal share, however full the replicas are",
        parts: [part(16, 30, 0)],
        peers: 4,
        expected: 2,
    },
    { name: "all places for a single process", parts: [part(16, 0), part(8, 0)], peers: 1, expected: 24 },
];
for (const { name, parts, peers, expected } of budgetCases) {
    test(`place budget: ${name}`, () => {
        assert.is(placeBudget(parts, peers), expected);
    });
}

test("reports older than the maximum age are ignored", () => {
    const load = makeReplicaLoad();
    load.update(replica("r", reported(5, 0)), 1_000);
    assert.equal([load.recent(5_000)?.total, load.recent(5_001)], [5, undefined]);
});

test("own requests started after a report are not subtracted from it", () => {
    const load = makeReplicaLoad();
    load.count(1, 100);
    load.count(1, 900);
    load.update(replica("r", reported(5, 500)), 1_000);
    assert.equal(load.others(1_000), { count: 4, ageMs: 500 });
});

const state = (name: string, load: number): ReplicaState => ({ ...replica(name), inFlight: 0, load });
const choiceCases = [
    { name: "no candidates", candidates: [], draws: [0], expected: undefined },
    { name: "a single candidate", candidates: [state("x", 9)], draws: [0.9], expected: "x" },
    {
        name: "the less loaded of the two drawn",
        candidates: [state("x", 2), state("y", 1), state("z", 0)],
        draws: [0, 0],
        expected: "y",
    },
    {
        name: "never draws the same replica twice",
        candidates: [state("x", 2), state("y", 1)],
        draws: [0, 0],
        expected: "y",
    },
];
for (const { name, candidates, draws, expected } of choiceCases) {
    test(`two choices: ${name}`, () => {
        let drawn = 0;
        const chosen = chooseReplica("twoChoices", candidates, () => draws[drawn++]!, 0);
        assert.is(chosen?.replica, expected);
    });
}

type Sample = readonly [string, number | "failed"];
const usual: readonly Sample[] = [..."abc"].flatMap(name => Array<Sample>(4).fill([name, 30]));
const slow = (count: number): readonly Sample[] => Array<Sample>(count).fill(["d", 300]);
const outlierCases: readonly {
    readonly name: string;
    readonly samples: readonly Sample[];
    readonly atMs: number;
    readonly expected: string;
}[] = [
    { name: "a slow replica is ejected", samples: [...usual, ...slow(3)], atMs: 0, expected: "ejected" },
    { name: "two slow answers are too few samples", samples: [...usual, ...slow(2)], atMs: 0, expected: "available" },
    {
        name: "twice the median is not an outlier",
        samples: [...usual, ...Array<Sample>(9).fill(["d", 60])],
        atMs: 0,
        expected: "available",
    },
    {
        name: "on probation after the ejection time",
        samples: [...usual, ...slow(3)],
        atMs: 10_000,
        expected: "probation",
    },
    { name: "consecutive failures", samples: Array<Sample>(3).fill(["d", "failed"]), atMs: 0, expected: "ejected" },
    {
        name: "failures with an answer in between",
        samples: [["d", "failed"], ["d", "failed"], ["d", 30], ["d", "failed"]],
        atMs: 0,
        expected: "available",
    },
];
const note = (outliers: ReturnType<typeof makeOutlierDetector>, [name, pace]: Sample, nowMs: number): void =>
    pace === "failed" ? outliers.observeFailure(name, nowMs) : outliers.observe(name, pace, nowMs);
for (const { name, samples, atMs, expected } of outlierCases) {
    test(`outliers: ${name}`, () => {
        const outliers = makeOutlierDetector();
        outliers.setReplicas([..."abcd"]);
        samples.forEach(sample => note(outliers, sample, 0));
        assert.is(outliers.standing("d", atMs), expected);
    });
}

const trialCases: readonly { readonly name: string; readonly sample: Sample; readonly expected: readonly string[] }[] =
    [
        { name: "a fast answer readmits it", sample: ["d", 35], expected: ["available", "available"] },
        {
            name: "a slow answer ejects it for twice as long",
            sample: ["d", 300],
            expected: ["ejected", "probation"],
        },
        {
            name: "a failure ejects it for twice as long",
            sample: ["d", "failed"],
            expected: ["ejected", "probation"],
        },
    ];
for (const { name, sample, expected } of trialCases) {
    test(`outlier on probation: ${name}`, () => {
        const outliers = makeOutlierDetector();
        outliers.setReplicas([..."abcd"]);
        [...usual, ...slow(3)].forEach(before => note(outliers, before, 0));
        note(outliers, sample, 10_000);
        assert.equal([outliers.standing("d", 29_000), outliers.standing("d", 30_000)], expected);
    });
}

test("outliers: at most half of the replicas are ejected, even if all fail", () => {
    const outliers = makeOutlierDetector();
    outliers.setReplicas([..."abcd"]);
    [..."abcdabcdabcd"].forEach(name => outliers.observeFailure(name, 0));
    assert.is([..."abcd"].filter(name => outliers.standing(name, 0) === "ejected").length, 2);
});

const job = (id: string, extra: Partial<Job> = {}): Job => ({
    id,
    service: "s",
    workspace: "w",
    share: 1,
    workClass: "short",
    priority: 5,
    startDeadlineMs: 930,
    excludedReplicas: new Set(),
    ...extra,
});
const random = (): number => 0.5;
const makeFull = (
    long: number,
    short: number,
    admission: "reserved" | "firstCome" = "reserved",
    workspace = "w",
) => {
    const dispatcher = makeDispatcher({ availabilityZone: "a", routing: "twoChoices", admission });
    dispatcher.setReplicas("s", [replica("r", { concurrency: 10 })], 0);
    Array.from(
        { length: long },
        (unused, index) => dispatcher.submit(job(`l${index}`, { workClass: "long" }), 0, random),
    );
    Array.from({ length: short }, (unused, index) => dispatcher.submit(job(`s${index}`, { workspace }), 0, random));
    return dispatcher;
};

const submissionCases = [
    {
        name: "short work starts despite excess long work",
        given: makeFull(30, 0),
        offer: job("x"),
        expected: "started",
    },
    {
        name: "short work is queued under firstCome",
        given: makeFull(30, 0, "firstCome"),
        offer: job("x"),
        expected: "queued",
    },
    {
        name: "long work cannot use the places reserved for short work",
        given: makeFull(9, 0),
        offer: job("x", { workClass: "long" }),
        expected: "queued",
    },
    { name: "past its deadline", given: makeFull(0, 10), offer: job("x", { startDeadlineMs: 0 }), expected: "refused" },
    {
        name: "all replicas were tried",
        given: makeFull(0, 0),
        offer: job("x", { excludedReplicas: new Set(["r"]) }),
        expected: "refused",
    },
    { name: "no replicas", given: makeFull(0, 0), offer: job("x", { service: "t" }), expected: "refused" },
];
for (const { name, given, offer, expected } of submissionCases) {
    test(`submission: ${name}`, () => {
        assert.is(given.submit(offer, 0, random).kind, expected);
    });
}

test("a request that is not expected to start well before its deadline is refused at once", () => {
    const dispatcher = makeFull(0, 10);
    dispatcher.release("s0", 1_000, { kind: "answered", firstTokenMs: 0 });
    const kinds = Array.from(
        { length: 8 },
        (unused, index) => dispatcher.submit(job(`x${index}`, { startDeadlineMs: 2_000 }), 1_000, random).kind,
    );
    assert.equal(kinds, ["started", "queued", "queued", "queued", "queued", "refused", "refused", "refused"]);
});

test("a workspace below its share is queued while one above it is refused", () => {
    const dispatcher = makeFull(0, 10, "reserved", "large");
    dispatcher.release("s0", 1_000, { kind: "answered", firstTokenMs: 0 });
    const offer = (id: string, workspace: string) =>
        dispatcher.submit(job(id, { workspace, startDeadlineMs: 2_000 }), 1_000, random).kind;
    Array.from({ length: 8 }, (unused, index) => offer(`x${index}`, "large"));
    assert.is(offer("y", "large"), "refused");
    assert.is(offer("z", "small"), "queued");
    dispatcher.release("s1", 1_100);
    const order = dispatcher.startQueued(1_100, random).map(({ id }) => id);
    dispatcher.release("s2", 1_200);
    assert.ok([...order, ...dispatcher.startQueued(1_200, random).map(({ id }) => id)].includes("z"));
});

test("a job reclassified as long counts against the limit of long work", () => {
    const dispatcher = makeFull(8, 0);
    assert.is(dispatcher.submit(job("x"), 0, random).kind, "started");
    dispatcher.reclassifyAsLong("x");
    assert.is(dispatcher.submit(job("y", { workClass: "long" }), 0, random).kind, "queued");
});

const redeclaredCases = [
    { name: "more concurrency", before: { concurrency: 8 }, after: { concurrency: 32 }, expected: 32 },
    { name: "less concurrency", before: { concurrency: 32 }, after: { concurrency: 8 }, expected: 8 },
    { name: "another target", before: { betweenTokensMs: 10 }, after: { betweenTokensMs: 200 }, expected: 8 },
];
for (const { name, before, after, expected } of redeclaredCases) {
    test(`a ticket that declares ${name} applies at once, whatever was estimated before`, () => {
        const dispatcher = makeDispatcher({ availabilityZone: "a", routing: "twoChoices", admission: "reserved" });
        const declare = (extra: Partial<Replica>): void =>
            dispatcher.setReplicas("s", [replica("r", { betweenTokensMs: 50, ...extra })], 0);
        declare(before);
        for (let index = 0; index < 40; index++) {
            dispatcher.submit(job(`j${index}`), index, () => 0);
            dispatcher.release(`j${index}`, index, { kind: "answered", firstTokenMs: 1, betweenTokensMs: 100 });
        }
        declare(after);
        assert.is(dispatcher.usageOf("s", 100).limit, expected);
    });
}

test.run();
