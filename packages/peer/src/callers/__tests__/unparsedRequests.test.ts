/** What is reported of requests that the HTTP server cannot read. Guards against answers that leave no trace. */
import { sleep, systemTimer } from "@rattanquay/timer";
import { once } from "node:events";
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { makeCallerConnections } from "../callerConnections";
import { answerUnparsedRequests, maxLinesPerSecond, type UnparsedRequest } from "../unparsedRequests";

const settleMs = 40;
const get = "GET / HTTP/1.1\r\nHost: entry\r\n\r\n";
const chunked = "POST / HTTP/1.1\r\nHost: entry\r\nTransfer-Encoding: chunked\r\n\r\n";

type Line = UnparsedRequest & { readonly leftOut: number };
type Respond = (response: ServerResponse, request: IncomingMessage) => void;

type Played = {
    readonly received: string;
    readonly lines: readonly Line[];
    readonly unparsed: readonly UnparsedRequest[];
};

/** Sends the parts with a pause between them, on each of some connections, and returns what came back on the first. */
async function play(parts: readonly string[], respond: Respond, connectionCount = 1): Promise<Played> {
    const lines: Line[] = [];
    const unparsed: UnparsedRequest[] = [];
    const connections = makeCallerConnections(systemTimer.nowMs);
    const server = createServer({ connectionsCheckingInterval: 20 }, (request, response) => {
        connections.noteRequest(request, response);
        respond(response, request);
    });
    server.headersTimeout = 150;
    server.on("connection", connections.add);
    answerUnparsedRequests(server, connections, systemTimer.nowMs, {
        onUnparsed: one => {
            unparsed.push(one);
            return `HTTP/1.1 ${one.status} Fault\r\nConnection: close\r\n\r\n`;
        },
        onLine: line => lines.push(line),
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    const playOne = async (): Promise<string> => {
        let received = "";
        const socket = connect(port, "127.0.0.1");
        socket.on("error", () => undefined);
        socket.on("data", data => received += data.toString("latin1"));
        const closed = new Promise(resolve => socket.once("close", resolve));
        for (const part of parts) {
            socket.write(part, "latin1");
            await sleep(systemTimer, settleMs);
        }
        await closed;
        return received;
    };
    const [received = ""] = await Promise.all(Array.from({ length: connectionCount }, playOne));
    server.close();
    return { received, lines, unparsed };
}

const answerAll: Respond = response => response.end("whole");
const answerNothing: Respond = () => undefined;
const refuseUnread: Respond = response => {
    response.statusCode = 401;
    response.end();
};

const cases: readonly {
    readonly name: string;
    readonly parts: readonly string[];
    readonly respond: Respond;
    readonly expected: Partial<UnparsedRequest>;
}[] = [
    {
        name: "bytes that are no request",
        parts: ["HELLO\r\n\r\n"],
        respond: answerAll,
        expected: {
            status: 400,
            fault: "HPE_INVALID_METHOD",
            connectionBytes: 9,
            connectionRequests: 0,
            unanswered: 0,
            last: undefined,
        },
    },
    {
        name: "a target with bytes over 0x7f",
        parts: ["GET /\xe9 HTTP/1.1\r\n\r\n"],
        respond: answerAll,
        expected: { status: 400, fault: "HPE_INVALID_URL" },
    },
    {
        name: "a target with a tab",
        parts: ["GET /a\tb HTTP/1.1\r\n\r\n"],
        respond: answerAll,
        expected: { status: 400, fault: "HPE_INVALID_URL" },
    },
    {
        name: "a head that is too large",
        parts: [`GET / HTTP/1.1\r\nX-Long: ${"x".repeat(20_000)}\r\n\r\n`],
        respond: answerAll,
        expected: { status: 431, fault: "HPE_HEADER_OVERFLOW" },
    },
    {
        name: "chunk extensions that are too large",
        parts: [`${chunked}1;${"x".repeat(20_000)}\r\n`],
        respond: answerNothing,
        expected: { status: 413, fault: "HPE_CHUNK_EXTENSIONS_OVERFLOW", isReadingBody: true, unanswered: 1 },
    },
    {
        name: "a head that does not end",
        parts: ["GET / HTTP/1.1\r\n"],
        respond: answerAll,
        expected: { status: 408, fault: "ERR_HTTP_REQUEST_TIMEOUT", connectionRequests: 0 },
    },
    {
        name: "the rest of a body whose request was refused",
        parts: [get, chunked, "zz"],
        respond: refuseUnread,
        expected: {
            status: 400,
            fault: "HPE_INVALID_CHUNK_SIZE",
            connectionRequests: 2,
            last: { status: 401, wasAnswerSent: true, wasBodyRead: false, closes: false },
        },
    },
    {
        name: "bytes behind a request that was answered",
        parts: [get, "HELLO\r\n\r\n"],
        respond: answerAll,
        expected: {
            status: 400,
            connectionRequests: 1,
            unanswered: 0,
            isReadingBody: false,
            last: { status: 200, wasAnswerSent: true, wasBodyRead: true, closes: false },
        },
    },
];

test("REFUSED: bytes behind a request that runs get an answer in place of it", async () => {
    const answerLate: Respond = response => void sleep(systemTimer, 4 * settleMs).then(() => response.end("whole"));
    const { received, lines } = await play([get, "HELLO\r\n\r\n", "HELLO\r\n\r\n"], answerLate);
    assert.match(received, /^HTTP\/1.1 200 OK\r\n[^]*Connection: close\r\n[^]*whole$/);
    assert.equal(lines.map(({ status, isAnswered, unanswered }) => [status, isAnswered, unanswered]), [[
        400,
        false,
        1,
    ]]);
});

test("MIXED: bytes behind an answer that has begun get another one in the middle of it", async () => {
    const answerInParts: Respond = response => {
        response.write("first");
        void sleep(systemTimer, 4 * settleMs).then(() => response.end("last"));
    };
    const { received } = await play([get, "HELLO\r\n\r\n"], answerInParts);
    assert.match(received, /^HTTP\/1.1 200 OK\r\n[^]*first\r\n4\r\nlast\r\n0\r\n\r\n$/);
});

for (const { name, parts, respond, expected } of cases) {
    test(`${name} gets ${expected.status} and a line`, async () => {
        const { received, lines } = await play(parts, respond);
        assert.is(lines.length, 1);
        const [line] = lines;
        assert.equal({ ...line, ...expected }, line);
        assert.ok(line!.isAnswered);
        assert.is(line!.leftOut, 0);
        assert.match(received, new RegExp(`HTTP/1.1 ${expected.status} Fault\r\nConnection: close`));
    });
}

test("lines are bounded, and all faults are counted", async () => {
    const count = 3 * maxLinesPerSecond;
    const { lines, unparsed } = await play(["HELLO\r\n\r\n"], answerAll, count);
    assert.is(unparsed.length, count);
    // On a slow machine they may come within two seconds.
    assert.ok(lines.length >= maxLinesPerSecond && lines.length <= 2 * maxLinesPerSecond, `${lines.length} lines`);
});

test.run();
