/** What one attempt makes of whatever an upstream may send. */
import { Settings } from "@rattanquay/schema";
import { systemTimer } from "@rattanquay/timer";
import { createServer, type Server, ServerResponse } from "node:http";
import { type AddressInfo } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { type Answer } from "../chatAnswer";
import { attemptChat } from "../chatAttempt";

const token = (content: string, id = "a"): string =>
    `data: ${JSON.stringify({ id, choices: [{ index: 0, delta: { content }, finish_reason: null }] })}\n\n`;
const finish = `data: ${JSON.stringify({ id: "a", choices: [{ index: 0, delta: {}, finish_reason: "stop" }] })}\n\n`;
const done = "data: [DONE]\n\n";
const json = (body: unknown): string => JSON.stringify(body);

type Answering = (response: ServerResponse) => void;
const stream = (...pieces: readonly string[]): Answering => response => {
    response.writeHead(200, { "content-type": "text/event-stream" });
    response.end(pieces.join(""));
};
const refusal = (status: number, body: string, headers: Record<string, string> = {}): Answering => response => {
    response.writeHead(status, headers);
    response.end(body);
};

const cases: readonly {
    readonly name: string;
    readonly answering: Answering;
    readonly kind: string;
    readonly taken?: string;
    readonly finished?: boolean;
}[] = [
    {
        name: "a whole stream",
        answering: stream(token("1"), token("2"), finish, done),
        kind: "whole",
        taken: "12",
        finished: true,
    },
    { name: "no end marker", answering: stream(token("1"), finish), kind: "cut", taken: "1" },
    { name: "no finish reason", answering: stream(token("1"), done), kind: "cut", taken: "1" },
    { name: "an empty stream", answering: stream(), kind: "cut" },
    {
        name: "an unreadable chunk, then more",
        answering: stream(token("1"), "data: {\n\n", token("2"), finish, done),
        kind: "cut",
        taken: "1",
    },
    {
        name: "another stream's chunk",
        answering: stream(token("1"), token("x", "b"), token("2"), finish, done),
        kind: "cut",
        taken: "1",
    },
    {
        name: "an error event",
        answering: stream(token("1"), 'data: {"error":{"code":"upstreamFailed"}}\n\n', done),
        kind: "cut",
        taken: "1",
    },
    {
        name: "a stream after its end",
        answering: stream(token("1"), finish, done, token("2")),
        kind: "whole",
        taken: "1",
        finished: true,
    },
    {
        name: "a model that is not held",
        answering: refusal(404, json({ error: { code: "model_not_found" } })),
        kind: "unreached",
    },
    { name: "some other 404", answering: refusal(404, "nothing here"), kind: "rejected" },
    { name: "a bad request", answering: refusal(400, json({ error: { code: "bad" } })), kind: "rejected" },
    { name: "429 without proof", answering: refusal(429, ""), kind: "cut" },
    { name: "503 without proof", answering: refusal(503, ""), kind: "cut" },
    { name: "503 that says not run", answering: refusal(503, "", { "x-outcome": "notRun" }), kind: "unreached" },
    { name: "502 that says unknown", answering: refusal(502, "", { "x-outcome": "unknown" }), kind: "cut" },
    { name: "a redirect", answering: refusal(302, "", { location: "/" }), kind: "cut" },
    { name: "a connection cut before the head", answering: response => response.destroy(), kind: "cut" },
    { name: "silence after the head", answering: response => response.writeHead(200).flushHeaders(), kind: "timedOut" },
    { name: "silence", answering: () => undefined, kind: "timedOut" },
];

const limits = { ...Settings.shape.limits.parse({}), upstreamIdleTimeoutMs: 200 };
let server: Server;
let answering: Answering;

test.before(async () => {
    server = createServer((unusedRequest, response) => answering(response));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
});

test.after(() => {
    server.closeAllConnections();
    server.close();
});

/** An answer that keeps whatever any sink lets through. */
function makeRecord() {
    const record = { taken: "", finished: false, left: false };
    const answer = {
        expect: () => ({
            take: (chunk, unusedData, isFinishing) => {
                record.taken += record.left || isFinishing ? "" : chunk.choices[0]?.delta.content ?? "";
                return true;
            },
            onDrain: () => undefined,
            finish: () => {
                record.finished ||= !record.left;
            },
        }),
        leave: () => {
            record.left = true;
        },
    } satisfies Partial<Answer>;
    return { record, answer: answer as unknown as Answer };
}

function attempt(address: string, answer: Answer) {
    const response = new ServerResponse({ method: "POST" } as never);
    return attemptChat({
        attemptId: "1",
        address,
        headers: {},
        call: {},
        answer,
        limits,
        timer: systemTimer,
        response,
    });
}

for (const { name, answering: given, kind, taken = "", finished = false } of cases) {
    test(`${name}: ${kind}`, async () => {
        answering = given;
        const { record, answer } = makeRecord();
        const result = await attempt(`127.0.0.1:${(server.address() as AddressInfo).port}`, answer);
        assert.equal([result.kind, record.taken, record.finished], [kind, taken, finished]);
    });
}

test("a port where nobody listens: unreached", async () => {
    const closed = createServer();
    await new Promise<void>(resolve => closed.listen(0, "127.0.0.1", resolve));
    const { port } = closed.address() as AddressInfo;
    await new Promise(resolve => closed.close(resolve));
    assert.is((await attempt(`127.0.0.1:${port}`, makeRecord().answer)).kind, "unreached");
});

test.run();
