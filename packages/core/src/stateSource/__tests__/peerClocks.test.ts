/** Guards against statements of a peer that look newer than they are, after they waited on a link or in a stopped process. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { makePeerClocks } from "../peerClocks";

type Reading = { readonly peerMs: number; readonly sentAtMs: number };
type Case = {
    readonly name: string;
    readonly readings: readonly Reading[];
    readonly peerMs: number;
    readonly nowMs: number;
    readonly expected: number | undefined;
};
const cases: readonly Case[] = [
    { name: "a clock that was never read", readings: [], peerMs: 1_500, nowMs: 2_000, expected: undefined },
    {
        name: "counts from when the reading was asked for",
        readings: [{ peerMs: 1_000, sentAtMs: 1_980 }],
        peerMs: 1_300,
        nowMs: 2_400,
        expected: 2_280,
    },
    {
        name: "a message that waited is as old as it was when it was sent",
        readings: [{ peerMs: 1_000, sentAtMs: 1_980 }],
        peerMs: 1_300,
        nowMs: 9_000,
        expected: 2_280,
    },
    {
        name: "the reading that took less time counts",
        readings: [{ peerMs: 1_000, sentAtMs: 1_980 }, { peerMs: 2_000, sentAtMs: 2_500 }],
        peerMs: 2_100,
        nowMs: 3_200,
        expected: 3_080,
    },
    {
        name: "a reading that is half a minute old is replaced in any case",
        readings: [{ peerMs: 1_000, sentAtMs: 1_980 }, { peerMs: 32_000, sentAtMs: 32_500 }],
        peerMs: 32_100,
        nowMs: 33_200,
        expected: 32_600,
    },
    {
        name: "a clock that started anew",
        readings: [{ peerMs: 90_000, sentAtMs: 90_980 }, { peerMs: 100, sentAtMs: 95_000 }],
        peerMs: 400,
        nowMs: 95_600,
        expected: 95_300,
    },
    {
        name: "a time that is still to come is none",
        readings: [{ peerMs: 1_000, sentAtMs: 1_980 }],
        peerMs: 2_000,
        nowMs: 2_400,
        expected: undefined,
    },
];
for (const { name, readings, peerMs, nowMs, expected } of cases) {
    test(`DENIED: ${name}`, () => {
        const clocks = makePeerClocks();
        readings.forEach(reading => clocks.noteReading("e1", reading.peerMs, reading.sentAtMs));
        assert.is(clocks.toLocalMs("e1", peerMs, nowMs), expected);
    });
}

test.run();
