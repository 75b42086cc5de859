/** Guards against a configuration whose age in the log counts from its last confirmation instead of from its arrival. */
import { emptySnapshot } from "@rattanquay/core";
import { makeMetrics, silentLog } from "@rattanquay/telemetry";
import { VirtualTimer } from "@rattanquay/timer";
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

test.run();
