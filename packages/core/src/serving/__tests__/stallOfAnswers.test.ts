/** When an answer that has begun counts as stalled: by its last bytes, whoever serves it. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { detectStall, type PendingAttempt, type StallState } from "../index";

type Case = {
    readonly name: string;
    readonly attempt: Partial<PendingAttempt>;
    readonly nowMs: number;
    readonly verdict: StallState;
};

const plain: PendingAttempt = {
    isEngine: false,
    objectiveMs: 400,
    longestPauseMs: 200,
    predictedMs: 100,
    sentAtMs: 0,
    hasHead: true,
    isPassedOn: true,
    lastBytesAtMs: 2_000,
    upstreamProgressAtMs: 2_000,
};
const buffered = { isPassedOn: false };
const withoutHead = { hasHead: false, isPassedOn: false, lastBytesAtMs: 0, upstreamProgressAtMs: -Infinity };
const engine = { isEngine: true };

const cases: readonly Case[] = [
    { name: "passed on, its bytes come", attempt: {}, nowMs: 2_050, verdict: "moves" },
    { name: "passed on, silent within the objective's limit", attempt: {}, nowMs: 2_600, verdict: "moves" },
    { name: "passed on, silent beyond the objective's limit", attempt: {}, nowMs: 2_601, verdict: "stalled" },
    {
        name: "passed on, silent within the longest pause",
        attempt: { longestPauseMs: 900 },
        nowMs: 2_900,
        verdict: "moves",
    },
    {
        name: "passed on, silent beyond the longest pause",
        attempt: { longestPauseMs: 900 },
        nowMs: 2_901,
        verdict: "stalled",
    },
    {
        name: "passed on, silent within the limit of any stream, the objective is short",
        attempt: { objectiveMs: 100 },
        nowMs: 2_450,
        verdict: "moves",
    },
    {
        name: "passed on, silent beyond the limit of any stream, the objective is short",
        attempt: { objectiveMs: 100 },
        nowMs: 2_451,
        verdict: "stalled",
    },
    {
        name: "passed on, silent while the upstream answers others",
        attempt: { upstreamProgressAtMs: 3_000 },
        nowMs: 3_100,
        verdict: "moves",
    },
    {
        name: "passed on, silent for too long while the upstream answers others",
        attempt: { upstreamProgressAtMs: 3_200 },
        nowMs: 3_201,
        verdict: "stalled",
    },
    { name: "buffered, its bytes come in time", attempt: buffered, nowMs: 600, verdict: "moves" },
    { name: "buffered, its bytes come but it is late", attempt: buffered, nowMs: 2_001, verdict: "stalled" },
    { name: "no head in time", attempt: withoutHead, nowMs: 600, verdict: "moves" },
    { name: "no head, late", attempt: withoutHead, nowMs: 601, verdict: "stalled" },
    {
        name: "no head, late, while the upstream answers others",
        attempt: { ...withoutHead, upstreamProgressAtMs: 600 },
        nowMs: 601,
        verdict: "stalled",
    },
    { name: "of an engine, silent within the limit", attempt: engine, nowMs: 2_450, verdict: "moves" },
    { name: "of an engine, silent beyond the limit", attempt: engine, nowMs: 2_451, verdict: "stalled" },
    {
        name: "of an engine, buffered, silent beyond the limit",
        attempt: { ...engine, ...buffered },
        nowMs: 2_451,
        verdict: "stalled",
    },
];

for (const { name, attempt, nowMs, verdict } of cases) {
    test(`stalls: an answer ${name}`, () => {
        assert.is(detectStall({ ...plain, ...attempt }, nowMs), verdict);
    });
}

test.run();
