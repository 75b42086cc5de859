/** Measurements against the stand-in engine are valid only if it batches as real engines do. */
import { VirtualTimer } from "@rattanquay/timer";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { Batch, type Sequence } from "../batch";

const options = { maxRunning: 2, stepBaseMs: 10, stepPerSequenceMs: 1, prefillTokensPerMs: 10, cachedPrefixes: 1 };

type Run = {
    readonly batch: Batch;
    readonly timer: VirtualTimer;
    readonly events: string[];
    readonly add: (fields: Partial<Sequence> & { id: string }) => void;
};

function startRun(): Run {
    const timer = new VirtualTimer();
    const batch = new Batch(timer, options);
    const events: string[] = [];
    const add = (fields: Partial<Sequence> & { id: string }): void =>
        batch.add({
            priority: 0,
            promptTokens: 0,
            prefix: fields.id,
            from: 0,
            length: 1,
            onToken: index => events.push(`${fields.id}${index}@${timer.nowMs()}`),
            onEnd: () => events.push(`${fields.id} end`),
            ...fields,
        });
    return { batch, timer, events, add };
}

const cases: readonly {
    readonly name: string;
    readonly act: (run: Run) => void;
    readonly expected: readonly string[];
}[] = [
    {
        name: "a step lasts longer with each running sequence",
        act: run => {
            run.add({ id: "a", length: 2 });
            run.timer.advance(11);
            run.add({ id: "b" });
            run.timer.advance(40);
        },
        expected: ["a0@11", "a1@22", "a end", "b0@33", "b end"],
    },
    {
        name: "sequences beyond the limit wait, and the one with the highest priority starts first",
        act: run => {
            run.add({ id: "a" });
            run.add({ id: "b" });
            run.add({ id: "low" });
            run.add({ id: "high", priority: 1 });
            run.timer.advance(24);
        },
        expected: ["a0@11", "a end", "high0@23", "high end", "b0@23", "b end"],
    },
    {
        name: "a prompt takes prefill time unless its prefix is cached",
        act: run => {
            run.add({ id: "a", promptTokens: 100, prefix: "p" });
            run.timer.advance(21);
            run.add({ id: "b", promptTokens: 100, prefix: "p" });
            run.timer.advance(12);
        },
        expected: ["a0@21", "a end", "b0@32.1", "b end"],
    },
    {
        name: "a resumed sequence continues at its token, and a cancelled one yields no tokens",
        act: run => {
            run.add({ id: "a", from: 3, length: 5 });
            run.add({ id: "gone", length: 9 });
            run.batch.cancel("gone");
            run.timer.advance(40);
        },
        expected: ["a3@11.3", "a4@22.3", "a end"],
    },
];

for (const { name, act, expected } of cases) {
    test(name, () => {
        const run = startRun();
        act(run);
        assert.equal(run.events, [...expected]);
    });
}

test.run();
