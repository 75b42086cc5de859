/** Checks that all instances together stay within the shared retry budget without communicating. */
import { unsafeUniformIntDistribution, xoroshiro128plus } from "pure-rand";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { makeSharedRetryBudget } from "../index";

const bounds = { ratio: 0.2, extra: 225, windowMs: 10_000 };
const seconds = 60;
const stepsPerSecond = 20;

type Event = { readonly atMs: number; readonly kind: "request" | "retry" };

const countIn = (events: readonly Event[], kind: Event["kind"], fromMs: number, untilMs: number): number =>
    events.filter(event => event.kind === kind && event.atMs > fromMs && event.atMs <= untilMs).length;

/** The most requests in this window, in the one before, or in the one half a window before: these allow its retries. */
function requestsFor(events: readonly Event[], untilMs: number): number {
    const { windowMs } = bounds;
    const windows = [0, windowMs / 2, windowMs].map(backMs =>
        countIn(events, "request", untilMs - backMs - windowMs, untilMs - backMs)
    );
    return Math.max(...windows);
}

for (let seed = 1; seed <= 20; seed++) {
    test(`no window holds more retries than the budget allows all instances together, seed ${seed}`, () => {
        const generator = xoroshiro128plus(seed);
        const draw = (below: number): number => unsafeUniformIntDistribution(0, below - 1, generator);
        const instances = 1 + draw(20);
        const budgets = Array.from({ length: instances }, () => makeSharedRetryBudget(bounds));
        const events: Event[] = [];
        const loads = Array.from({ length: seconds }, () => draw(40));
        for (let step = 0; step < seconds * stepsPerSecond; step++) {
            const atMs = step * 1_000 / stepsPerSecond;
            const load = loads[Math.floor(atMs / 1_000)]!;
            for (let count = 0; count < load; count++) {
                const budget = budgets[draw(instances)]!;
                budget.noteRequest(atMs);
                events.push({ atMs, kind: "request" });
                if (draw(2) === 0 && budget.trySpend(atMs, instances)) {
                    events.push({ atMs, kind: "retry" });
                }
            }
        }
        for (let untilMs = 0; untilMs <= seconds * 1_000; untilMs += 500) {
            const retries = countIn(events, "retry", untilMs - bounds.windowMs, untilMs);
            const allowed = bounds.ratio * requestsFor(events, untilMs) + bounds.extra;
            assert.ok(retries <= allowed, `${retries} retries where ${allowed} are allowed, until ${untilMs} ms`);
        }
    });
}

test.run();
