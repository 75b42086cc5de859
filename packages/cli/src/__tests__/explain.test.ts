/** The story of one request, from lines of many processes. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { readLogLines, storyOf } from "../explain";

const line = (
    second: number,
    instance: string,
    message: string,
    fields: Readonly<Record<string, unknown>> = {},
): string =>
    JSON.stringify({
        ...fields,
        instance,
        message,
        level: "info",
        timestamp: new Date(second * 1_000).toISOString(),
    });

const logs = [
    line(1, "edge-1", "configurationInForce", { version: 3 }),
    line(2, "edge-1", "upstreamSeen", { upstream: "i-1", group: "g1/0/open" }),
    line(2, "edge-2", "upstreamGone", { upstream: "i-1" }),
    line(3, "edge-1", "configurationInForce", { version: 4 }),
    line(8, "edge-2", "engineSilent", { upstream: "i-1" }),
    line(8, "edge-2", "engineSilent", { upstream: "i-9" }),
    line(10, "edge-1", "requestEnded", { requestId: "r1", upstreams: ["i-1"], code: "unknownOutcome" }),
    line(9, "edge-1", "sendFell", { requestId: "r1", upstream: "i-1" }),
    line(9, "edge-1", "sendFell", { requestId: "r2", upstream: "i-1" }),
    line(12, "edge-1", "configurationInForce", { version: 5 }),
];

const texts = [
    { name: "plain lines", text: logs.join("\n"), read: logs.length },
    {
        name: "lines that a collector marked",
        text: logs.map(json => `7.2 edge-1 ${json}`).join("\n"),
        read: logs.length,
    },
    { name: "lines of others and cut ones", text: `hello\n{"a":1}\n${logs[0]!.slice(0, 20)}\n${logs[0]!}`, read: 1 },
    { name: "nothing", text: "", read: 0 },
];
for (const { name, text, read } of texts) {
    test(`log lines: ${name}`, () => assert.is(readLogLines(text).length, read));
}

test("the story has the request's lines in order of time, and no other's", () => {
    const story = storyOf("r1", readLogLines(logs.join("\n")));
    assert.equal(story.map(({ line: { event } }) => event), ["sendFell", "requestEnded"]);
});

test("each line comes with what its own process believed then", () => {
    const [first] = storyOf("r1", readLogLines(logs.join("\n")));
    assert.equal(first!.believed.map(({ event, fields }) => [event, fields["version"] ?? fields["upstream"]]), [
        ["configurationInForce", 4],
        ["upstreamSeen", "i-1"],
    ]);
});

test("what a process believed before it started anew is not told", () => {
    const [story] = storyOf("r1", readLogLines([...logs, line(8, "edge-1", "started")].join("\n")));
    assert.equal(story!.believed.map(({ event }) => event), ["started"]);
});

test("each line comes with what the planner saw of its upstreams", () => {
    const [first] = storyOf("r1", readLogLines(logs.join("\n")));
    assert.equal(first!.around.map(({ event, fields }) => [event, fields["upstream"]]), [["engineSilent", "i-1"]]);
});

test("a request that no line names has no story", () => {
    assert.equal(storyOf("r3", readLogLines(logs.join("\n"))), []);
});

test.run();
