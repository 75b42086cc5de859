import { type Log, silentLog } from "@rattanquay/telemetry";
import { VirtualTimer } from "@rattanquay/timer";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { type GatewayContext } from "../../gatewayContext";
import { makeGatewayMetrics } from "../../metrics";
import { makeUnreadableAnswers } from "../unreadableAnswers";

type Line = { readonly upstream: string; readonly fault: string; readonly count: number };

function makeRecorded() {
    const timer = new VirtualTimer();
    const metrics = makeGatewayMetrics();
    const lines: Line[] = [];
    const log: Log = { ...silentLog, warn: (event, fields) => lines.push(fields as unknown as Line) };
    const unreadable = makeUnreadableAnswers({ log, metrics, timer } as unknown as GatewayContext);
    return { timer, metrics, lines, unreadable };
}

test("an upstream whose answers can't be read gets one log line a second, with how often it was", async () => {
    const { timer, metrics, lines, unreadable } = makeRecorded();
    for (let answer = 0; answer < 500; answer++) {
        unreadable.note("i-1", "a", "status 0");
    }
    unreadable.note("i-2", "b", "status 99");
    timer.advance(1_000);
    unreadable.note("i-1", "c", "status 0");
    assert.equal(lines.map(({ upstream, count }) => [upstream, count]), [["i-1", 1], ["i-2", 1], ["i-1", 500]]);
    const [counted] = (await metrics.unreadableAnswers.get()).values;
    assert.is(counted!.value, 502);
});

test("what could not be read fills no log line", () => {
    const { lines, unreadable } = makeRecorded();
    unreadable.note("i-1", "a", "x".repeat(10_000));
    assert.ok(lines[0]!.fault.length <= 120);
});

test.run();
