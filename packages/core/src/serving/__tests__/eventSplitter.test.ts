/** The event splitter with parts of any size: each way to cut a stream must give the same events, at a bounded cost. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { makeEventSplitter } from "../index";

const streams = [
    { name: "line feeds", text: "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda", events: 2 },
    { name: "carriage returns and line feeds", text: "id: 1\r\ndata: a\r\n\r\nid: 2\r\n\r\ndata: b\r\n", events: 2 },
    { name: "carriage returns", text: "id: 1\rdata: a\r\rid: 2\r\r: x", events: 2 },
    { name: "empty lines in a row", text: "\n\n\n\n\n\r\n\r\n\r\r\rdata: a\n\n", events: 5 },
    { name: "unlike line ends", text: "data: a\ndata: b\r\n\ndata: c\r\n\r", events: 1 },
    { name: "nothing that ends an event", text: "data: a\ndata: b\r\ndata: c\r", events: 0 },
];

const cut = (text: string, partLength: number): readonly string[] =>
    Array.from(
        { length: Math.ceil(text.length / partLength) },
        (unused, index) => text.slice(index * partLength, (index + 1) * partLength),
    );

function split(parts: readonly string[]) {
    const splitter = makeEventSplitter();
    const events = parts.flatMap(splitter.push);
    return { events, hasPartialEvent: splitter.hasPartialEvent() };
}

for (const { name, text, events } of streams) {
    test(`a stream has the same events however it is cut: ${name}`, () => {
        const whole = split([text]);
        assert.is(whole.events.length, events);
        for (let partLength = 1; partLength < text.length; partLength++) {
            assert.equal(split(cut(text, partLength)), whole, `parts of ${partLength}`);
        }
    });
}

const eventBytes = 200_000;
/** `loss_slack_ms` of the users' deployments: a process that is busy for longer answers other callers too late. */
const maxBusyMs = 200;
/** Processor time, so that other load on the machine doesn't count. */
const usedMs = (): number => process.cpuUsage().user / 1_000;

test("LOST: an event in parts of one byte is searched again from its start with each of them", () => {
    const parts = cut(`data: ${"a".repeat(eventBytes)}\n\n`, 1);
    const beforeMs = usedMs();
    const { events } = split(parts);
    const tookMs = usedMs() - beforeMs;
    assert.is(events[0]?.bytes.length, eventBytes + 8);
    assert.ok(tookMs < maxBusyMs, `took ${Math.round(tookMs)} ms`);
});

test.run();
