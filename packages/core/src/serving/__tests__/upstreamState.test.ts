/** Table-driven tests of load estimates, stall detection and the correction of predictions. */
import { type EngineProfile } from "@rattanquay/schema";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
    detectStall,
    makePredictionBias,
    makeUpstreamLoad,
    type PendingAttempt,
    predictFirstEventMs,
    type StallState,
} from "../index";

const engine: EngineProfile = {
    slots: 12,
    memoryTokens: 1_000_000,
    models: [{ model: "m", groupSize: 2, share: 1, pace: 1, loadMs: 12_000, warmupMs: 1_000 }],
    stepMs: 7.8,
    perRequestMs: 0.13,
    perThousandContextMs: 0.01,
    stepsPerPass: 5,
    promptTokensPerMs: 45.9,
    perMillionPairsMs: 0.43,
    usualPromptTokens: 979,
    usualAnswerTokens: 154,
    reportLagMs: 200,
    loadsPerSecond: 5,
    loadsAtOnce: 7,
    formationMs: 300,
};

test("the predicted time to the first event grows with load, and faster once all slots are taken", () => {
    const work = { promptTokens: 1_000, answerTokens: 150 };
    const predicted = [0, 6, 11, 12, 24].map(load => predictFirstEventMs(engine, engine.models[0]!, load, work));
    predicted.slice(1).forEach((ms, index) => assert.ok(ms > predicted[index]!, String(predicted)));
    assert.ok(predicted[4]! - predicted[3]! > 10 * (predicted[2]! - predicted[1]!), String(predicted));
});

test("reported load decays, load from peers is added, and progress clears a stall", () => {
    const load = makeUpstreamLoad();
    load.start();
    load.noteReport({ running: 6, waiting: 2, slots: 12 }, 0);
    assert.is(load.estimate(0), 8);
    assert.ok(load.estimate(750) < 8 && load.estimate(750) > 1);
    assert.is(load.estimate(5_000), 1);
    load.notePeerLoad(4, 5_000);
    assert.is(load.estimate(5_100), 5);
    load.noteUnreachable(6_000);
    assert.ok(load.isStalled(7_000));
    load.noteProgress(7_100);
    assert.not.ok(load.isStalled(7_200));
});

const suspicionCases = [
    { name: "a peer suspects it", act: () => undefined, stalled: true, suspectedHere: false },
    {
        name: "a peer suspects it, and it made progress since",
        act: (load: Load) => load.noteProgress(150),
        stalled: false,
        suspectedHere: false,
    },
    {
        name: "this instance suspects it",
        act: (load: Load) => load.noteUnreachable(150),
        stalled: true,
        suspectedHere: true,
    },
    {
        name: "this instance suspected it, and its group changed",
        act: (load: Load) => {
            load.noteUnreachable(50);
            load.clearSuspicion();
        },
        stalled: true,
        suspectedHere: false,
    },
];
type Load = ReturnType<typeof makeUpstreamLoad>;
for (const { name, act, stalled, suspectedHere } of suspicionCases) {
    test(`suspicions: ${name}`, () => {
        const load = makeUpstreamLoad();
        load.notePeerSuspicion(100);
        act(load);
        assert.is(load.isStalled(200), stalled);
        assert.is(load.isSuspectedLocally(200), suspectedHere);
        assert.is(load.isStalled(10_000), false);
    });
}

const overdueCases = [
    { name: "no instance received anything since", act: () => undefined, stalled: true },
    { name: "a peer received something since", act: (load: Load) => load.notePeerProgress(150), stalled: false },
    { name: "a peer received something before", act: (load: Load) => load.notePeerProgress(50), stalled: true },
    {
        name: "unreachable from here, although a peer received something since",
        act: (load: Load) => {
            load.noteUnreachable(100);
            load.notePeerProgress(150);
        },
        stalled: true,
    },
];
for (const { name, act, stalled } of overdueCases) {
    test(`overdue output: ${name}`, () => {
        const load = makeUpstreamLoad();
        load.noteUnresponsive(100);
        act(load);
        assert.is(load.isStalled(200), stalled);
    });
}

const pendingAttempt: PendingAttempt = {
    isEngine: true,
    objectiveMs: 300,
    longestPauseMs: 200,
    predictedMs: 100,
    sentAtMs: 0,
    hasHead: false,
    isPassedOn: false,
    lastBytesAtMs: 0,
    upstreamProgressAtMs: -Infinity,
};
const startedStream = { hasHead: true, lastBytesAtMs: 1_000, upstreamProgressAtMs: 1_000 };
const stallCases: readonly {
    readonly name: string;
    readonly attempt: Partial<PendingAttempt>;
    readonly nowMs: number;
    readonly verdict: StallState;
}[] = [
    { name: "the first event is not due yet", attempt: {}, nowMs: 340, verdict: "moves" },
    {
        name: "the first event is overdue and no instance receives anything from the upstream",
        attempt: {},
        nowMs: 600,
        verdict: "doubtful",
    },
    {
        name: "the first event is overdue for longer than a report from a peer takes",
        attempt: {},
        nowMs: 1_000,
        verdict: "stalled",
    },
    {
        name: "a busy upstream makes progress for other requests",
        attempt: { upstreamProgressAtMs: 2_800 },
        nowMs: 3_000,
        verdict: "moves",
    },
    {
        name: "a busy upstream has stopped making progress",
        attempt: { upstreamProgressAtMs: 2_000 },
        nowMs: 3_000,
        verdict: "stalled",
    },
    { name: "the first event is predicted late", attempt: { predictedMs: 900 }, nowMs: 1_800, verdict: "moves" },
    { name: "a stream pauses for less than the limit", attempt: startedStream, nowMs: 1_400, verdict: "moves" },
    { name: "a stream and its upstream make no progress", attempt: startedStream, nowMs: 1_500, verdict: "stalled" },
    {
        name: "a stream pauses while its upstream makes progress for other requests",
        attempt: { ...startedStream, upstreamProgressAtMs: 1_900 },
        nowMs: 2_000,
        verdict: "moves",
    },
    {
        name: "a stream makes no progress for too long while others of its upstream do",
        attempt: { ...startedStream, upstreamProgressAtMs: 2_200 },
        nowMs: 2_300,
        verdict: "stalled",
    },
    { name: "a plain response is slightly late", attempt: { isEngine: false }, nowMs: 440, verdict: "moves" },
    { name: "a plain response is too late", attempt: { isEngine: false }, nowMs: 460, verdict: "stalled" },
];
for (const { name, attempt, nowMs, verdict } of stallCases) {
    test(`stalls: ${name}`, () => {
        assert.is(detectStall({ ...pendingAttempt, ...attempt }, nowMs), verdict);
    });
}

const biasCases = [
    { name: "no errors were observed", observations: [], predictedMs: 50, corrected: 50 },
    {
        name: "the error of its own range",
        observations: Array.from({ length: 30 }, () => [50, 160] as const),
        predictedMs: 40,
        corrected: 150,
    },
    {
        name: "the error of a lower range, if its own range has none",
        observations: Array.from({ length: 30 }, () => [50, 160] as const),
        predictedMs: 300,
        corrected: 410,
    },
    {
        name: "a few requests that hit a dead engine change it little",
        observations: [
            ...Array.from({ length: 30 }, () => [50, 160] as const),
            [50, 4_000] as const,
            [50, 4_000] as const,
        ],
        predictedMs: 40,
        corrected: 174,
    },
];
for (const { name, observations, predictedMs, corrected } of biasCases) {
    test(`prediction bias: ${name}`, () => {
        const bias = makePredictionBias();
        observations.forEach(([predicted, actual]) => bias.observe(predicted, actual));
        assert.is(bias.correct(predictedMs), corrected);
    });
}

test.run();
