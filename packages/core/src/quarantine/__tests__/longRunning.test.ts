/** What goes wrong only after many exchanges between processes, or with more crashes than are remembered. */
import { type QuarantineRecord } from "@rattanquay/schema";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { makeQuarantineBook, SegmentQuarantine } from "../index";
import { makeFleet, scope } from "./fleet";

const impose = (segments: readonly string[], overrides: Partial<QuarantineRecord> = {}): QuarantineRecord => ({
    scope,
    segments: [...segments],
    round: 1,
    isLifted: false,
    crashes: ["i-1", "i-2"],
    ageMs: 0,
    lastCrashAgeMs: 0,
    trials: 0,
    nextTrialInMs: 3_000,
    ...overrides,
});

test("a suspicion never ends because each exchange between processes moves the next trial and the last crash on", () => {
    const books = [makeQuarantineBook(), makeQuarantineBook()];
    books[0]!.merge(impose(["p"]), 0);
    const latencyMs = 200;
    for (let nowMs = 0; nowMs < 10_000; nowMs += 2 * latencyMs) {
        books[0]!.records(nowMs).forEach(record => books[1]!.merge(record, nowMs + latencyMs));
        books[1]!.records(nowMs + latencyMs).forEach(record => books[0]!.merge(record, nowMs + 2 * latencyMs));
    }
    const entries = books.map(book => book.active()[0]!);
    assert.ok(entries.every(({ nextTrialMs }) => nextTrialMs <= 3_000 + latencyMs));
    assert.ok(entries.every(({ lastCrashMs }) => lastCrashMs <= latencyMs));
});

test("a trial of one quarantine lets a request through that another one holds back", () => {
    const quarantine = new SegmentQuarantine({ onEvent: () => undefined, random: () => 0, processes: () => 2 });
    const records = [impose(["p", "s"], { nextTrialInMs: 0 }), impose(["p"], { nextTrialInMs: 60_000 })];
    quarantine.receive({ crashes: [], sound: [], quarantines: records }, 0);
    assert.is(quarantine.check(scope, { workspace: "alpha", segments: ["s", "p"] }, 5_000).kind, "refused");
});

test("a report of an old crash postpones the next trial like a new one", () => {
    const quarantine = new SegmentQuarantine({ onEvent: () => undefined, random: () => 0, processes: () => 2 });
    quarantine.receive({ crashes: [], sound: [], quarantines: [impose(["p"], { nextTrialInMs: 500 })] }, 0);
    const prompts = [{ workspace: "alpha", segments: ["p"] }];
    const crash = { crash: "i-0", scope, ageMs: 60_000, prompts, cleared: [], isRevoked: false };
    quarantine.receive({ crashes: [crash], sound: [], quarantines: [] }, 100);
    quarantine.receive(
        { crashes: [{ ...crash, crash: "i-9", ageMs: 0, isRevoked: true }], sound: [], quarantines: [] },
        100,
    );
    assert.is(quarantine.check(scope, { workspace: "alpha", segments: ["p"] }, 600).kind, "trial");
});

test("a process that is new to the fleet accuses a segment that all others know to be sound", () => {
    const fleet = makeFleet(5);
    fleet.processes.forEach((unused, process) => fleet.sound(process, "s"));
    fleet.advance(1_000);
    fleet.crash(1, "i-1", "s", "t1");
    fleet.advance(400);
    const joined = fleet.join(0);
    fleet.crash(2, "i-2", "s", "t2");
    fleet.advance(4_000);
    assert.equal(
        fleet.processes.map((unused, process) => fleet.check(process, "s", "x")),
        fleet.processes.map(() => "allowed"),
    );
    assert.equal(fleet.processes[joined]!.events, []);
});

test("processes exchange reports without end when there are more crashes than they remember", () => {
    const nowMs = 1_000;
    const processes = [1, 2].map(() =>
        new SegmentQuarantine({ onEvent: () => undefined, random: () => 0, processes: () => 2 })
    );
    processes.forEach((process, owner) => {
        for (let crash = 0; crash < 60; crash++) {
            process.noteCrash(
                {
                    crash: `i-${owner}-${crash}`,
                    scope,
                    prompts: [{ workspace: "alpha", segments: [`t${owner}-${crash}`] }],
                },
                nowMs + crash,
            );
        }
    });
    let news = 0;
    for (let exchange = 0; exchange < 20; exchange++) {
        // Messages cross: each is made before the other one arrives.
        const snapshots = processes.map(process => process.snapshot(nowMs + 200 + exchange));
        const isNew = processes.map((process, index) => process.receive(snapshots[1 - index]!, nowMs + 210 + exchange));
        news = isNew.filter(Boolean).length;
    }
    assert.is(news, 0);
});

test("each of 195 processes sends all others what any of them could send", () => {
    const slowDeliveryMs = 40;
    const fleet = makeFleet(195, slowDeliveryMs);
    fleet.processes.forEach((unused, process) => fleet.sound(process, "s"));
    fleet.advance(1_000);
    fleet.crash(1, "i-1", "s", "p");
    fleet.advance(400);
    fleet.crash(2, "i-2", "s", "p");
    fleet.advance(1_000);
    assert.ok(fleet.announced().quarantines <= 20, `${fleet.announced().quarantines} announced a quarantine`);
    assert.ok(fleet.announced().sound <= 40, `${fleet.announced().sound} reported a sound segment`);
});

test.run();
