/** Callers that send their request too slowly, send a malformed one or stop reading the response. */
import { type Log, silentLog } from "@rattanquay/telemetry";
import { connect, type Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { callerKey, defaultSpec, type EmbeddedCluster, startEmbeddedCluster, waitUntil } from "../cluster";

const maxWaitingBytes = 262_144;

let cluster: EmbeddedCluster;
let waitingBytes = 0;

const log: Log = {
    ...silentLog,
    warn: (event, fields) => {
        waitingBytes = event === "readerStalled" ? Number(fields?.waitingBytes) : waitingBytes;
    },
};

test.before(async () => {
    cluster = await startEmbeddedCluster({
        ...defaultSpec,
        zones: 1,
        entriesPerZone: 1,
        engine: { stepBaseMs: 0.01, stepPerSequenceMs: 0 },
        settings: { limits: { requestReadTimeoutMs: 400, callerStallTimeoutMs: 600 } },
    }, log);
});

test.after(() => cluster.stop());

const head = [
    "POST /v1/chat/completions HTTP/1.1",
    "host: entry",
    `authorization: Bearer ${callerKey}`,
    "content-type: application/json",
];

const openSocket = (): Socket => connect(cluster.entries[0]!.callerPort, "127.0.0.1");

const responseTo = (text: string): Promise<string> =>
    new Promise(resolve => {
        const socket = openSocket();
        let answer = "";
        socket.on("data", data => answer += data.toString());
        socket.on("error", () => undefined);
        socket.on("close", () => resolve(answer));
        socket.write(text);
    });

const metrics = async (): Promise<string> =>
    (await fetch(`http://127.0.0.1:${cluster.entries[0]!.operatorPort}/metrics`)).text();

const cases = [
    {
        name: "a body that is not sent in time",
        text: `${head.join("\r\n")}\r\ncontent-length: 500\r\n\r\n{"model"`,
        status: 408,
        code: "requestTimeout",
        expectedMetric: /rattanquay_requests_total\{[^}]*code="requestTimeout"\} 1/,
    },
    {
        name: "headers that are not completed in time",
        text: head.join("\r\n"),
        status: 408,
        code: "requestTimeout",
        expectedMetric: /rattanquay_connection_faults_total\{listener="callers",kind="requestTimeout"\} 1/,
    },
    {
        name: "headers that are too large",
        text: `${head.join("\r\n")}\r\nx-long: ${"x".repeat(20_000)}\r\n\r\n`,
        status: 431,
        code: "headersTooLarge",
        expectedMetric: /rattanquay_connection_faults_total\{listener="callers",kind="headersTooLarge"\} 1/,
    },
    {
        name: "something that is not HTTP",
        text: "HELO entry\r\n\r\n",
        status: 400,
        code: "malformedRequest",
        expectedMetric: /rattanquay_connection_faults_total\{listener="callers",kind="malformedRequest"\} 1/,
    },
];

for (const { name, text, status, code, expectedMetric } of cases) {
    test(`${name} gets ${status} ${code} and is counted`, async () => {
        const answer = await responseTo(text);
        assert.match(answer, new RegExp(`^HTTP/1.1 ${status} `));
        const error = JSON.parse(answer.slice(answer.indexOf("{"), answer.lastIndexOf("}") + 1)).error;
        assert.is(error.code, code);
        assert.is(error.outcome, "notRun");
        assert.match(answer, `x-request-id: ${error.request_id}`);
        assert.match(await metrics(), expectedMetric);
    });
}

test("a caller that stops reading is disconnected, takes bounded memory and is counted", async () => {
    const socket = openSocket();
    socket.on("error", () => undefined);
    const body = JSON.stringify({
        model: "assistant",
        stream: true,
        max_tokens: 200_000,
        messages: [{ role: "user", content: "Everything." }],
    });
    socket.write(`${head.join("\r\n")}\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`);
    socket.pause();
    await waitUntil(
        "the caller to be disconnected",
        60_000,
        async () => /kind="readerStalled"\} 1/.test(await metrics()),
    );
    assert.ok(waitingBytes > 0 && waitingBytes < maxWaitingBytes, `${waitingBytes} bytes were buffered`);
    assert.match(await metrics(), /rattanquay_requests_total\{[^}]*code="callerGone"\} 1/);
    socket.destroy();
});

test.run();
