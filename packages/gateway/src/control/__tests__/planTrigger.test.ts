/** When a planning pass is due, in virtual time. */
import { VirtualTimer } from "@rattanquay/timer";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { makePlanTrigger, type PlanTrigger } from "../planTrigger";

const tickMs = 60;
const upstreams = new Map();

/** Counts the passes in one second of ticks; `input` returns the input at a tick. */
function countPasses(input: (tick: number) => readonly unknown[], onPass: (trigger: PlanTrigger) => void): number {
    const timer = new VirtualTimer();
    const trigger = makePlanTrigger(timer.nowMs);
    let passes = 0;
    for (let tick = 0; tick < 1_000 / tickMs; tick++) {
        if (trigger.isDue(input(tick))) {
            passes++;
            onPass(trigger);
        }
        timer.advance(tickMs);
    }
    return passes;
}

const doNothing = (): void => undefined;

const cases: readonly {
    name: string;
    input: (tick: number) => readonly unknown[];
    onPass: (trigger: PlanTrigger) => void;
    least: number;
    most: number;
}[] = [
    { name: "nothing changes", input: () => [upstreams], onPass: doNothing, least: 3, most: 6 },
    { name: "the list changes at each tick", input: () => [new Map()], onPass: doNothing, least: 17, most: 17 },
    {
        name: "an instance falls silent",
        input: tick => tick === 5 ? [upstreams, "i-1"] : [upstreams],
        onPass: doNothing,
        least: 5,
        most: 8,
    },
    {
        name: "each pass plans something",
        input: () => [upstreams],
        onPass: trigger => trigger.reset(),
        least: 17,
        most: 17,
    },
];

for (const { name, input, onPass, least, most } of cases) {
    test(`planning passes in a second: ${name}`, () => {
        const passes = countPasses(input, onPass);
        assert.ok(passes >= least && passes <= most, `${passes} passes`);
    });
}

test.run();
