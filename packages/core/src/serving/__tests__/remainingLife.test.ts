/** What a process that stops may take in. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { mayTakeIn, type RequestSpan } from "../index";

const life = { noticeEndsAtMs: 2_600, endsAtMs: 7_300 };

type Case = {
    readonly name: string;
    readonly span: RequestSpan;
    readonly nowMs: number;
    readonly mayBeTakenIn: boolean;
};

const cases: readonly Case[] = [
    {
        name: "a request that ends in time is taken in, however late it comes",
        span: { endByMs: 7_300, expectedEndMs: undefined },
        nowMs: 6_500,
        mayBeTakenIn: true,
    },
    {
        name: "in the notice period, one that is expected to end in time",
        span: { endByMs: 9_000, expectedEndMs: 7_300 },
        nowMs: 1_000,
        mayBeTakenIn: true,
    },
    {
        name: "in the notice period, one that is expected to outlast the process, is refused",
        span: { endByMs: 9_000, expectedEndMs: 7_301 },
        nowMs: 1_000,
        mayBeTakenIn: false,
    },
    {
        name: "in the notice period, one whose end cannot be told",
        span: { endByMs: 9_000, expectedEndMs: undefined },
        nowMs: 2_599,
        mayBeTakenIn: true,
    },
    {
        name: "after it, one that may outlast the process is refused, whatever is expected",
        span: { endByMs: 7_301, expectedEndMs: 3_000 },
        nowMs: 2_600,
        mayBeTakenIn: false,
    },
];

for (const { name, span, nowMs, mayBeTakenIn } of cases) {
    test(`LOST: ${name}`, () => assert.is(mayTakeIn(span, life, nowMs), mayBeTakenIn));
}

test.run();
