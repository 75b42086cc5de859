/** The result of one attempt for each kind of response that an upstream may send. */
import { Settings } from "@rattanquay/schema";
import { systemTimer } from "@rattanquay/timer";
import { createServer, type Server, ServerResponse } from "node:http";
import { type AddressInfo } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { type ChatAnswer } from "../chatAnswer";
import { attemptChat } from "../chatAttempt";

const token = (content: string, id = "a"): string =>
    `data: ${JSON.stringify({ id, choices: [{ index: 0, delta: { content }, finish_reason: null }] })}\n\n`;
const finish = `data: ${JSON.stringify({ id: "a", choices: [{ index: 0, delta: {}, finish_reason: "stop" }] })}\n\n`;
const done = "data: [DONE]\n\n";
const json = (body: unknown): string => JSON.stringify(body);

type Responder = (response: ServerResponse) => void;
const stream = (...pieces: readonly string[]): Responder => response => {
    response.writeHead(200, { "content-type": "text/event-stream" });
    response.end(pieces.join(""));
};
const refusal = (status: number, body: string, headers: Record<string, string> = {}): Responder => response => {
    response.writeHead(status, headers);
    response.end(body);
};

const cases: readonly {
    readonly name: string;
    readonly respond: Responder;
    readonly kind: string;
    readonly taken?: string;
    readonly finished?: boolean;
}[] = [
    {
        name: "a complete stream",
        respond: stream(token("1"), token("2"), finish, done),
        kind: "whole",
        taken: "12",
        finished: true,
    },
    { name: "no end marker", respond: stream(token("1"), finish), kind: "cut", taken: "1" },
    { name: "no finish reason", respond: stream(token("1"), done), kind: "cut", taken: "1" },
    { name: "an empty stream", respond: stream(), kind: "cut" },
    {
        name: "an invalid chunk, then more",
        respond: stream(token("1"), "data: {\n\n", token("2"), finish, done),
        kind: "cut",
        taken: "1",
    },
    {
        name: "a chunk with another stream's id",
        respond: stream(token("1"), token("x", "b"), token("2"), finish, done),
        kind: "cut",
        taken: "1",
    },
    {
        name: "an error event",
        respond: stream(token("1"), 'data: {"error":{"code":"upstreamFailed"}}\n\n', done),
        kind: "cut",
        taken: "1",
    },
    {
        name: "chunks after the end marker",
        respond: stream(token("1"), finish, done, token("2")),
        kind: "whole",
        taken: "1",
        finished: true,
    },
    {
        name: "a model that is not loaded",
        respond: refusal(404, json({ error: { code: "model_not_found" } })),
        kind: "unreached",
    },
    { name: "a 404 without an error code", respond: refusal(404, "nothing here"), kind: "rejected" },
    { name: "a bad request", respond: refusal(400, json({ error: { code: "bad" } })), kind: "rejected" },
    { name: "429 without an outcome header", respond: refusal(429, ""), kind: "cut" },
    { name: "503 without an outcome header", respond: refusal(503, ""), kind: "cut" },
    { name: "503 with the outcome notRun", respond: refusal(503, "", { "x-outcome": "notRun" }), kind: "unreached" },
    { name: "502 with the outcome unknown", respond: refusal(502, "", { "x-outcome": "unknown" }), kind: "cut" },
    { name: "a redirect", respond: refusal(302, "", { location: "/" }), kind: "cut" },
    ...["000", "001", "099", "101", "600", "999"].map(status => ({
        name: `status ${status} with the outcome notRun`,
        respond: (response: ServerResponse) =>
            void response.socket?.end(
                `HTTP/1.1 ${status} Odd\r\nx-outcome: notRun\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`,
            ),
        kind: "cut",
    })),
    { name: "a connection closed before the response headers", respond: response => response.destroy(), kind: "cut" },
    {
        name: "nothing after the response headers",
        respond: response => response.writeHead(200).flushHeaders(),
        kind: "timedOut",
    },
    { name: "no response", respond: () => undefined, kind: "timedOut" },
];

const limits = { ...Settings.shape.limits.parse({}), upstreamIdleTimeoutMs: 200 };
let server: Server;
let respond: Responder;

test.before(async () => {
    server = createServer((unusedRequest, response) => respond(response));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
});

test.after(() => {
    server.closeAllConnections();
    server.close();
});

/** Makes an answer that records what its sinks receive until the attempt ends. */
function makeRecord() {
    const record = { taken: "", finished: false, detached: false };
    const answer = {
        openSink: () => ({
            write: (chunk, unusedData, isFinishing) => {
                record.taken += record.detached || isFinishing ? "" : chunk.choices[0]?.delta.content ?? "";
                return true;
            },
            onDrain: () => undefined,
            finish: () => {
                record.finished ||= !record.detached;
            },
        }),
        leave: () => {
            record.detached = true;
        },
    } satisfies Partial<ChatAnswer>;
    return { record, answer: answer as unknown as ChatAnswer };
}

function attempt(address: string, answer: ChatAnswer, echoedRequestId?: string) {
    const response = new ServerResponse({ method: "POST" } as never);
    return attemptChat({
        attemptId: "1",
        address,
        echoedRequestId,
        headers: {},
        call: {},
        answer,
        limits,
        timer: systemTimer,
        response,
    });
}

for (const { name, respond: given, kind, taken = "", finished = false } of cases) {
    test(`${name}: ${kind}`, async () => {
        respond = given;
        const { record, answer } = makeRecord();
        const result = await attempt(`127.0.0.1:${(server.address() as AddressInfo).port}`, answer);
        assert.equal([result.kind, record.taken, record.finished], [kind, taken, finished]);
    });
}

const ownId = "request-1";
const neighbourRefusals: readonly {
    readonly name: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly kind: string;
}[] = [
    // A neighbour with an older configuration refuses keys and models that this instance has admitted.
    { name: "its own refusal", headers: { "x-request-id": ownId, "x-outcome": "notRun" }, kind: "unreached" },
    { name: "its replica's rejection", headers: { "x-request-id": ownId }, kind: "rejected" },
    { name: "an answer without the request's id", headers: {}, kind: "cut" },
    { name: "an answer with another request's id", headers: { "x-request-id": "request-2" }, kind: "cut" },
    {
        name: "an answer with another request's id that claims not to have run",
        headers: { "x-request-id": "request-2", "x-outcome": "notRun" },
        kind: "cut",
    },
];
for (const status of [400, 401, 403, 404, 409, 413, 422]) {
    for (const { name, headers, kind } of neighbourRefusals) {
        test(`DENIED: a neighbour's ${status}, ${name}: ${kind}`, async () => {
            respond = refusal(status, json({ error: { code: "theirs" } }), headers);
            const { answer } = makeRecord();
            const result = await attempt(`127.0.0.1:${(server.address() as AddressInfo).port}`, answer, ownId);
            assert.is(result.kind, kind);
        });
    }
}

test("a port without a listener: unreached", async () => {
    const closed = createServer();
    await new Promise<void>(resolve => closed.listen(0, "127.0.0.1", resolve));
    const { port } = closed.address() as AddressInfo;
    await new Promise(resolve => closed.close(resolve));
    assert.is((await attempt(`127.0.0.1:${port}`, makeRecord().answer)).kind, "unreached");
});

test.run();
