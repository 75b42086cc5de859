/** Checks that at most one process holds the planning lease despite pauses, lost responses and clock offsets. */
import { type PlanningLease } from "@rattanquay/schema";
import { unsafeUniformIntDistribution, xoroshiro128plus } from "pure-rand";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
    initialPlanningLease,
    mayPlan,
    nextPlanningStep,
    noteSnapshot,
    noteUncertainOutcome,
    type PlanningLeaseState,
} from "../index";

const termMs = 1_500;

/** The lease row in a store with conditional writes. */
class Store {
    row: PlanningLease | undefined;
    revision = 0;
    writtenAtMs = 0;
    constructor(readonly nowMs: () => number) {}

    write(row: PlanningLease, expected: number): boolean {
        if (expected !== this.revision) {
            return false;
        }
        this.row = row;
        this.revision++;
        return true;
    }
}

/** One process with its own clock offset, which may be paused for a while. */
class Candidate {
    state: PlanningLeaseState = initialPlanningLease;
    pausedUntilMs = 0;
    constructor(
        readonly name: string,
        readonly offsetMs: number,
        readonly store: Store,
        readonly takeDelayMs: number = 0,
    ) {}

    now(): number {
        return this.store.nowMs() + this.offsetMs;
    }

    step(outcome: "answered" | "lost" | "refused"): void {
        const options = { holder: this.name, termMs, readEveryMs: 400, takeDelayMs: this.takeDelayMs };
        const sentAtMs = this.now();
        const step = nextPlanningStep(this.state, options, sentAtMs);
        if (step.kind === "wait") {
            return;
        }
        const isDone = outcome !== "refused"
            && (step.kind === "read" || this.store.write(step.row, step.expectedRevision));
        if (outcome !== "answered" || !isDone) {
            this.state = noteUncertainOutcome(this.state, this.now(), 100);
            return;
        }
        const { row, revision } = this.store;
        this.state = noteSnapshot(this.state, { row, revision, storeNowMs: this.store.nowMs(), sentAtMs }, options);
    }
}

/** Some candidates leave others time to take an expired lease. */
const takeDelaysMs = [0, 90, 400, 1_000];

const plans = (candidate: Candidate): boolean => mayPlan(candidate.state, { termMs }, candidate.now());

for (let seed = 1; seed <= 40; seed++) {
    test(`at most one process plans at any time, seed ${seed}`, () => {
        const generator = xoroshiro128plus(seed);
        const draw = (below: number): number => unsafeUniformIntDistribution(0, below - 1, generator);
        let nowMs = 1_000;
        const store = new Store(() => nowMs);
        const candidates = takeDelaysMs.map((takeDelayMs, index) =>
            new Candidate(`p${index}`, draw(100_000), store, takeDelayMs)
        );
        let heldMs = 0;
        for (let tick = 0; tick < 3_000; tick++) {
            nowMs += 20;
            for (const candidate of candidates) {
                if (nowMs < candidate.pausedUntilMs) {
                    continue;
                }
                if (draw(400) === 0) {
                    candidate.pausedUntilMs = nowMs + draw(5_000);
                }
                candidate.step((["lost", "refused"] as const)[draw(12)] ?? "answered");
            }
            const holders = candidates.filter(plans);
            assert.ok(holders.length <= 1, `${holders.map(({ name }) => name).join(" and ")} plan at ${nowMs} ms`);
            heldMs += holders.length * 20;
        }
        assert.ok(heldMs > 0.6 * 60_000, `somebody planned for ${heldMs} of 60000 ms`);
    });
}

test("the fencing number increases with each change of the lease holder and with nothing else", () => {
    let nowMs = 0;
    const store = new Store(() => nowMs);
    const first = new Candidate("first", 0, store);
    const second = new Candidate("second", 7, store);
    const stepUntil = (done: () => boolean, stepping: readonly Candidate[]): void => {
        for (let ticks = 0; !done() && ticks < 1_000; ticks++) {
            nowMs += 20;
            stepping.forEach(candidate => candidate.step("answered"));
        }
    };
    stepUntil(() => plans(first), [first]);
    assert.is(store.row?.fence, 1);
    const renewedAt = nowMs;
    stepUntil(() => nowMs - renewedAt > 10_000, [first, second]);
    assert.is(store.row?.fence, 1);
    stepUntil(() => plans(second), [second]);
    assert.is(store.row?.fence, 2);
    assert.not.ok(plans(first));
});

test("a candidate that leaves time to others takes the lease only if no other does", () => {
    const holderAfter = (names: readonly string[]): string | undefined => {
        let nowMs = 0;
        const store = new Store(() => nowMs);
        const delays: Readonly<Record<string, number>> = { preferred: 0, other: 1_000 };
        const candidates = names.map(name => new Candidate(name, 0, store, delays[name]));
        for (let ticks = 0; ticks < 200; ticks++) {
            nowMs += 20;
            candidates.forEach(candidate => candidate.step("answered"));
        }
        return store.row?.holder;
    };
    assert.is(holderAfter(["other", "preferred"]), "preferred");
    assert.is(holderAfter(["other"]), "other");
});

test.run();
