/** Unusable rows are all counted; the lines about them are bounded. */
import { type Log } from "@rattanquay/telemetry";
import { VirtualTimer } from "@rattanquay/timer";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { makeGatewayMetrics } from "../metrics";
import { makeRowFaults } from "../rowFaults";

function makeFaults() {
    const lines: Readonly<Record<string, unknown>>[] = [];
    const write = (unused: string, fields: Readonly<Record<string, unknown>> = {}): void => void lines.push(fields);
    const log: Log = { error: write, warn: write, info: write, debug: write };
    const timer = new VirtualTimer();
    const metrics = makeGatewayMetrics();
    const faults = makeRowFaults({ log, metrics, timer });
    const take = (key: string, reason: string) => faults.take({ table: "servers", key }, { kind: "unusable", reason });
    const counted = async () => (await metrics.unusableRows.get()).values[0]?.value;
    return { lines, timer, take, counted };
}

test("a row is logged when first read, when its fault changes and once a minute, and counted each time", async () => {
    const { lines, timer, take, counted } = makeFaults();
    for (let read = 0; read < 100; read++) {
        assert.is(take("i-1", "slots: too large"), undefined);
        timer.advance(1_000);
    }
    take("i-1", "address: expected a port");
    assert.equal(lines.map(({ reason, times }) => [reason, times]), [
        ["slots: too large", 1],
        ["slots: too large", 61],
        ["address: expected a port", 101],
    ]);
    assert.is(await counted(), 101);
});

test("10,000 unusable rows at once are counted, and 10 are logged a second with keys of at most 200 characters", async () => {
    const { lines, timer, take, counted } = makeFaults();
    for (let row = 0; row < 10_000; row++) {
        take(`${row}${"x".repeat(1_000)}`, "fault");
    }
    assert.is(lines.length, 10);
    assert.ok(lines.every(({ key }) => String(key).length <= 200));
    timer.advance(1_000);
    take("another", "fault");
    assert.is(lines.length, 11);
    assert.is(await counted(), 10_001);
});

test.run();
