/**
 * Guards against a configuration whose age in the log counts from its last confirmation instead of from its arrival, and
 * against one that counts as confirmed later than the table was asked.
 */
import { emptySnapshot } from "@rattanquay/core";
import { makeMetrics, silentLog } from "@rattanquay/telemetry";
import { sleep, systemTimer, VirtualTimer } from "@rattanquay/timer";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { type ProcessContext } from "../../processContext";
import { startConfig } from "../configTask";

const cases: readonly { name: string; revisions: readonly number[]; inForceSinceMs: number }[] = [
    { name: "the first one", revisions: [3], inForceSinceMs: 100 },
    { name: "the first one, at revision 0", revisions: [0], inForceSinceMs: 100 },
    { name: "the same revision again", revisions: [3, 3, 3], inForceSinceMs: 100 },
    { name: "an older revision after it", revisions: [3, 2], inForceSinceMs: 100 },
    { name: "a newer revision", revisions: [3, 3, 4, 4], inForceSinceMs: 300 },
];

for (const { name, revisions, inForceSinceMs } of cases) {
    test(`the time since which a configuration is in force: ${name}`, () => {
        const timer = new VirtualTimer();
        const task = startConfig({
            settings: { intervals: { configPollMs: 60_000 } },
            table: { read: async () => ({ kind: "unanswered" }) },
            timer,
            log: silentLog,
            metrics: makeMetrics(),
            random: () => 0,
            onFatalError: assert.unreachable,
        } as unknown as ProcessContext);
        for (const revision of revisions) {
            timer.advance(100);
            task.applyPeerSnapshot({ ...emptySnapshot, revision });
        }
        assert.is(task.feed.latest().inForceSinceMs, inForceSinceMs);
        task.stop();
    });
}

const answerMs = 100;
const pollMs = 60_000;
const stepMs = 10;

/** A task whose table answers after `answerMs`, or never. */
function startPolled(answers: () => boolean) {
    const timer = new VirtualTimer();
    const reads: number[] = [];
    const read = () =>
        new Promise(resolve => {
            reads.push(timer.nowMs());
            if (answers()) {
                timer.after(answerMs, () => resolve({ kind: "done", value: undefined }));
            }
        });
    const task = startConfig({
        settings: { intervals: { configPollMs: pollMs } },
        table: { read, list: async () => ({ kind: "done", value: [] }) },
        timer,
        log: silentLog,
        metrics: makeMetrics(),
        random: () => 0,
        onFatalError: assert.unreachable,
    } as unknown as ProcessContext);
    const advance = async (ms: number): Promise<void> => {
        for (let passedMs = 0; passedMs < ms; passedMs += stepMs) {
            await sleep(systemTimer, 0);
            timer.advance(stepMs);
            await sleep(systemTimer, 0);
        }
    };
    return { task, timer, reads, advance };
}

test("DENIED: a request has the table asked at once, and its answer counts from the question", async () => {
    const { task, timer, reads, advance } = startPolled(() => true);
    await advance(3_000);
    const before = reads.length;
    const askedAtMs = timer.nowMs();
    let isOver = false;
    void task.confirm().then(() => isOver = true);
    await advance(answerMs + 2 * stepMs);
    assert.ok(isOver);
    assert.is(reads.length, before + 1);
    assert.is(task.feed.latest().confirmedAtMs, askedAtMs);
    task.stop();
});

test("DENIED: requests that nobody answers wait a short time, and ask the table once a second", async () => {
    let answers = true;
    const { task, timer, reads, advance } = startPolled(() => answers);
    await advance(3_000);
    answers = false;
    const confirmedAtMs = task.feed.latest().confirmedAtMs;
    const before = reads.length;
    let waiting = 0;
    const startedAtMs = timer.nowMs();
    while (timer.nowMs() - startedAtMs < 2_000) {
        waiting++;
        void task.confirm().then(() => waiting--);
        await advance(100);
        assert.ok(waiting <= 5, `${waiting} requests wait`);
    }
    assert.ok(reads.length - before <= 2);
    assert.is(task.feed.latest().confirmedAtMs, confirmedAtMs);
    task.stop();
});

test.run();
