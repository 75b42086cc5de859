/** As of when a ticket that this process has accepted confirms the configuration: another one may follow it at once. */
import { emptySnapshot } from "@rattanquay/core";
import { makeMetrics, silentLog } from "@rattanquay/telemetry";
import { VirtualTimer } from "@rattanquay/timer";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { type ProcessContext } from "../../processContext";
import { startConfig } from "../configTask";

test("DENIED: the answer to an accepted ticket confirms the configuration as of its arrival, however long it took", async () => {
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
    timer.advance(100);
    task.applyPeerSnapshot({ ...emptySnapshot, revision: 3 });
    // The ticket is written at 100 ms; the table's answer arrives 5 s later.
    timer.advance(5_000);
    task.applyAccepted({ revision: 4, ticketRow: { ticket: 1 }, subjectRows: [] } as never);
    const { confirmedAtMs, confirmedByTable } = task.feed.latest();
    task.stop();
    assert.not(confirmedByTable && confirmedAtMs > 100, `confirmed as of ${confirmedAtMs} ms`);
});

test.run();
