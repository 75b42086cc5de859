/** What is known of upstreams' load, how long a send is waited for, and how far predictions are off, as tables of cases. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { profile } from "../../engineGroups/__tests__/fakeEngines";
import {
    judgeStall,
    makePredictionBias,
    makeUpstreamLoad,
    predictFirstEventMs,
    type StallVerdict,
    type WaitingSend,
} from "../index";

test("the predicted time to the first event grows with load, and faster once all places are taken", () => {
    const work = { promptTokens: 1_000, answerTokens: 150 };
    const predicted = [0, 6, 11, 12, 24].map(load => predictFirstEventMs(profile, profile.models[0]!, load, work));
    predicted.slice(1).forEach((ms, index) => assert.ok(ms > predicted[index]!, String(predicted)));
    assert.ok(predicted[4]! - predicted[3]! > 10 * (predicted[2]! - predicted[1]!), String(predicted));
});

test("what others do at an upstream is believed for a while, and its silence too", () => {
    const load = makeUpstreamLoad();
    load.start();
    load.noteReport({ running: 6, waiting: 2, slots: 12 }, 0);
    assert.is(load.estimate(0), 8);
    assert.ok(load.estimate(750) < 8 && load.estimate(750) > 1);
    assert.is(load.estimate(5_000), 1);
    load.notePeers(4, 5_000);
    assert.is(load.estimate(5_100), 5);
    load.noteStall(6_000);
    assert.ok(load.isStalled(7_000));
    load.noteProgress(7_100);
    assert.not.ok(load.isStalled(7_200));
});

const doubtCases = [
    { name: "a peer's doubt", act: () => undefined, stalled: true, own: false },
    {
        name: "a peer's doubt, and something came since",
        act: (load: Load) => load.noteProgress(150),
        stalled: false,
        own: false,
    },
    { name: "an own doubt", act: (load: Load) => load.noteStall(150), stalled: true, own: true },
    {
        name: "an own doubt, and its group changed",
        act: (load: Load) => {
            load.noteStall(50);
            load.forgetStall();
        },
        stalled: true,
        own: false,
    },
];
type Load = ReturnType<typeof makeUpstreamLoad>;
for (const { name, act, stalled, own } of doubtCases) {
    test(`doubts: ${name}`, () => {
        const load = makeUpstreamLoad();
        load.noteDoubt(100);
        act(load);
        assert.is(load.isStalled(200), stalled);
        assert.is(load.isDoubted(200), own);
        assert.is(load.isStalled(10_000), false);
    });
}

const silenceCases = [
    { name: "an own silence", act: () => undefined, stalled: true },
    { name: "something came to a peer since", act: (load: Load) => load.noteHeardProgress(150), stalled: false },
    { name: "something came to a peer before", act: (load: Load) => load.noteHeardProgress(50), stalled: true },
    {
        name: "it cannot be reached from here, whatever peers get",
        act: (load: Load) => {
            load.noteStall(100);
            load.noteHeardProgress(150);
        },
        stalled: true,
    },
];
for (const { name, act, stalled } of silenceCases) {
    test(`silences: ${name}`, () => {
        const load = makeUpstreamLoad();
        load.noteSilence(100);
        act(load);
        assert.is(load.isStalled(200), stalled);
    });
}

const waiting: WaitingSend = {
    isEngine: true,
    objectiveMs: 300,
    longestPauseMs: 200,
    predictedMs: 100,
    sentAtMs: 0,
    hasHead: false,
    lastBytesAtMs: 0,
    upstreamProgressAtMs: -Infinity,
};
const begun = { hasHead: true, lastBytesAtMs: 1_000, upstreamProgressAtMs: 1_000 };
const stallCases: readonly {
    readonly name: string;
    readonly send: Partial<WaitingSend>;
    readonly nowMs: number;
    readonly verdict: StallVerdict;
}[] = [
    { name: "a first event is not due yet", send: {}, nowMs: 340, verdict: "moves" },
    { name: "a first event is due and nobody hears of the upstream", send: {}, nowMs: 600, verdict: "doubtful" },
    { name: "and nobody could have told of it", send: {}, nowMs: 1_000, verdict: "stalled" },
    { name: "a busy upstream moves for others", send: { upstreamProgressAtMs: 2_800 }, nowMs: 3_000, verdict: "moves" },
    { name: "a busy upstream has stopped", send: { upstreamProgressAtMs: 2_000 }, nowMs: 3_000, verdict: "stalled" },
    { name: "a first event is predicted late", send: { predictedMs: 900 }, nowMs: 1_800, verdict: "moves" },
    { name: "a stream pauses", send: begun, nowMs: 1_400, verdict: "moves" },
    { name: "a stream and its upstream stand still", send: begun, nowMs: 1_500, verdict: "stalled" },
    {
        name: "a stream pauses whose upstream moves for others",
        send: { ...begun, upstreamProgressAtMs: 1_900 },
        nowMs: 2_000,
        verdict: "moves",
    },
    {
        name: "a stream stands still beside others that move",
        send: { ...begun, upstreamProgressAtMs: 2_200 },
        nowMs: 2_300,
        verdict: "stalled",
    },
    { name: "a plain answer is a little late", send: { isEngine: false }, nowMs: 440, verdict: "moves" },
    { name: "a plain answer is late", send: { isEngine: false }, nowMs: 460, verdict: "stalled" },
];
for (const { name, send, nowMs, verdict } of stallCases) {
    test(`stalls: ${name}`, () => {
        assert.is(judgeStall({ ...waiting, ...send }, nowMs), verdict);
    });
}

const biasCases = [
    { name: "nothing is known", notes: [], predictedMs: 50, corrected: 50 },
    {
        name: "the error of its size",
        notes: Array.from({ length: 30 }, () => [50, 160] as const),
        predictedMs: 40,
        corrected: 150,
    },
    {
        name: "the error of a smaller size, where nothing is known of its own",
        notes: Array.from({ length: 30 }, () => [50, 160] as const),
        predictedMs: 300,
        corrected: 410,
    },
    {
        name: "some that met a dead engine move it little",
        notes: [...Array.from({ length: 30 }, () => [50, 160] as const), [50, 4_000] as const, [50, 4_000] as const],
        predictedMs: 40,
        corrected: 174,
    },
];
for (const { name, notes, predictedMs, corrected } of biasCases) {
    test(`prediction bias: ${name}`, () => {
        const bias = makePredictionBias();
        notes.forEach(([predicted, actual]) => bias.note(predicted, actual));
        assert.is(bias.correct(predictedMs), corrected);
    });
}

test.run();
