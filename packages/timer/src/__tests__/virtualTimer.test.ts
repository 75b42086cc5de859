import { test } from "uvu";
import * as assert from "uvu/assert";
import { VirtualTimer } from "../index";

type Case = {
    readonly name: string;
    readonly schedule: (timer: VirtualTimer, record: (what: string) => void) => void;
    readonly expected: readonly string[];
};

const cases: readonly Case[] = [
    {
        name: "actions run in the order of their due times",
        schedule: (timer, record) => {
            timer.after(20, () => record("late"));
            timer.after(10, () => record("early"));
        },
        expected: ["early", "late"],
    },
    {
        name: "actions due at the same time run in the order of scheduling",
        schedule: (timer, record) => {
            timer.after(10, () => record("first"));
            timer.after(10, () => record("second"));
        },
        expected: ["first", "second"],
    },
    {
        name: "a periodic action repeats",
        schedule: (timer, record) => {
            timer.every(10, () => record(`at ${timer.nowMs()}`));
        },
        expected: ["at 10", "at 20", "at 30"],
    },
    {
        name: "a cancelled action does not run",
        schedule: (timer, record) => {
            const cancel = timer.every(10, () => record("ran"));
            timer.after(15, cancel);
        },
        expected: ["ran"],
    },
    {
        name: "an action may schedule another one that is due within the same advance",
        schedule: (timer, record) => {
            timer.after(10, () => timer.after(10, () => record(`at ${timer.nowMs()}`)));
        },
        expected: ["at 20"],
    },
];

for (const { name, schedule, expected } of cases) {
    test(name, () => {
        const timer = new VirtualTimer();
        const recorded: string[] = [];
        schedule(timer, what => recorded.push(what));
        timer.advance(30);
        assert.equal(recorded, [...expected]);
        assert.is(timer.nowMs(), 30);
    });
}

test.run();
