import { SegmentQuarantine } from "@rattanquay/core";
import { VirtualTimer } from "@rattanquay/timer";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { type KnownUpstream } from "../../upstreams";
import { type ObservedEnd, watchAttempt } from "../attemptWatch";

const prompt = { workspace: "alpha", segments: ["5c1e"] };

type Case = {
    readonly name: string;
    /** When the upstream writes the first part of its answer; undefined if it does not. */
    readonly outputAtMs?: number;
    readonly end: ObservedEnd;
    readonly endAtMs: number;
    readonly isExpectedToServe?: boolean;
    readonly isCrash: boolean;
    readonly isSound: boolean;
};

const cases: readonly Case[] = [
    { name: "an upstream that ends before it writes", end: "brokenOff", endAtMs: 300, isCrash: true, isSound: false },
    {
        name: "an upstream that ends just after it has begun to write",
        outputAtMs: 100,
        end: "brokenOff",
        endAtMs: 150,
        isCrash: true,
        isSound: false,
    },
    {
        name: "an upstream that ends in the middle of a long answer",
        outputAtMs: 100,
        end: "brokenOff",
        endAtMs: 900,
        isCrash: false,
        isSound: true,
    },
    {
        name: "an upstream that drains, is not listed or closes its group",
        end: "brokenOff",
        endAtMs: 300,
        isExpectedToServe: false,
        isCrash: false,
        isSound: false,
    },
    { name: "an attempt that was aborted here", end: "other", endAtMs: 300, isCrash: false, isSound: false },
    { name: "a short answer", outputAtMs: 100, end: "answered", endAtMs: 120, isCrash: false, isSound: true },
];

for (const { name, outputAtMs, end, endAtMs, isExpectedToServe = true, isCrash, isSound } of cases) {
    test(`attempts under watch: ${name}`, () => {
        const timer = new VirtualTimer();
        const state = new SegmentQuarantine({ onEvent: () => undefined, random: () => 0.5, processes: () => 1 });
        state.noteCrash({ crash: "i-1@1", scope: "drafts/large", prompts: [prompt] }, timer.nowMs());
        timer.advance(1);
        let crashes = 0;
        const attempt = {
            scope: "drafts/large",
            prompt,
            upstream: {} as KnownUpstream,
            abort: () => undefined,
        };
        const watch = watchAttempt(attempt, {
            state,
            timer,
            isExpectedToServe: () => isExpectedToServe,
            onCrash: () => crashes++,
        });
        if (outputAtMs !== undefined) {
            timer.after(outputAtMs, watch.noteOutput);
        }
        timer.after(endAtMs, () => watch.noteEnd(end));
        timer.advance(2_000);
        assert.is(crashes, isCrash ? 1 : 0);
        const cleared = state.snapshot(timer.nowMs()).crashes[0]!.cleared;
        assert.equal(cleared, isSound ? ["5c1e"] : []);
    });
}

test.run();
