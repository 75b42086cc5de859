import { test } from "uvu";
import * as assert from "uvu/assert";
import { VirtualTimer } from "../index";

type Case = {
    readonly name: string;
    readonly subscribe: (timer: VirtualTimer, note: (what: string) => void) => void;
    readonly expected: readonly string[];
};

const cases: readonly Case[] = [
    {
        name: "actions run in the order of their instants",
        subscribe: (timer, note) => {
            timer.after(20, () => note("late"));
            timer.after(10, () => note("early"));
        },
        expected: ["early", "late"],
    },
    {
        name: "actions of one instant run in the order of subscription",
        subscribe: (timer, note) => {
            timer.after(10, () => note("first"));
            timer.after(10, () => note("second"));
        },
        expected: ["first", "second"],
    },
    {
        name: "a period repeats",
        subscribe: (timer, note) => {
            timer.every(10, () => note(`at ${timer.nowMs()}`));
        },
        expected: ["at 10", "at 20", "at 30"],
    },
    {
        name: "a cancelled subscription does not run",
        subscribe: (timer, note) => {
            const cancel = timer.every(10, () => note("ran"));
            timer.after(15, cancel);
        },
        expected: ["ran"],
    },
    {
        name: "an action may subscribe anew within the time that passes",
        subscribe: (timer, note) => {
            timer.after(10, () => timer.after(10, () => note(`at ${timer.nowMs()}`)));
        },
        expected: ["at 20"],
    },
];

for (const { name, subscribe, expected } of cases) {
    test(name, () => {
        const timer = new VirtualTimer();
        const noted: string[] = [];
        subscribe(timer, what => noted.push(what));
        timer.advance(30);
        assert.equal(noted, [...expected]);
        assert.is(timer.nowMs(), 30);
    });
}

test.run();
