/**
 * Answers at the chat interface that Node's HTTP server sends by itself. Guards against answers without a log line, and against
 * an answer to unreadable bytes that its caller takes for the answer to the request before.
 */
import { type Log, silentLog } from "@rattanquay/telemetry";
import { sleep, systemTimer } from "@rattanquay/timer";
import { connect } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { callerKey, defaultSpec, type EmbeddedCluster, startEmbeddedCluster } from "../cluster";

type Fields = Readonly<Record<string, unknown>>;
type Line = { readonly event: string; readonly requestId: unknown; readonly fields: Fields };

let cluster: EmbeddedCluster;
const lines: Line[] = [];
const note = (event: string, fields: Fields = {}): void => {
    lines.push({ event, requestId: fields["requestId"], fields });
};
const log: Log = { ...silentLog, info: note, warn: note };

test.before(async () => {
    cluster = await startEmbeddedCluster({
        ...defaultSpec,
        zones: 1,
        entriesPerZone: 1,
        engine: { stepBaseMs: 20, stepPerSequenceMs: 0 },
    }, log);
});

test.after(() => cluster.stop());

/** What comes back on a connection that gets `text`, and `behind` after a time or once the answer has begun. */
const play = (text: string, behind = "", behindAfterMs: number | "begun" = "begun", limitMs = 6_000): Promise<string> =>
    new Promise(resolve => {
        const socket = connect(cluster.entries[0]!.callerPort, "127.0.0.1");
        let answer = "";
        const cancel = systemTimer.after(limitMs, () => socket.destroy());
        socket.on("data", data => {
            if (answer === "" && behindAfterMs === "begun") {
                socket.write(behind);
            }
            answer += data.toString("latin1");
        });
        socket.on("error", () => undefined);
        socket.on("close", () => {
            cancel();
            resolve(answer);
        });
        socket.write(text);
        if (behindAfterMs !== "begun") {
            void sleep(systemTimer, behindAfterMs).then(() => socket.write(behind));
        }
    });

const post = (body: Readonly<Record<string, unknown>>, headers: readonly string[] = []): string => {
    const text = JSON.stringify({ model: "assistant", messages: [{ role: "user", content: "Go on." }], ...body });
    return [
        "POST /v1/chat/completions HTTP/1.1",
        "host: entry",
        `authorization: Bearer ${callerKey}`,
        "content-type: application/json",
        `content-length: ${Buffer.byteLength(text)}`,
        ...headers,
        "",
        text,
    ].join("\r\n");
};

const unreadable = "NO REQUEST\r\n\r\n";
const requestIdOf = (answer: string): string | undefined => /^x-request-id: (\S+)/im.exec(answer)?.[1];
const statusLinesOf = (answer: string): readonly string[] => answer.match(/HTTP\/1\.1 \d+/g) ?? [];

test("an unknown Expect gets a logged answer", async () => {
    const answer = await play(post({ max_tokens: 3 }, ["expect: something-else", "connection: close"]));
    const requestId = requestIdOf(answer);
    assert.ok(requestId !== undefined, `an answer that names no request: ${answer.slice(0, 100)}`);
    assert.ok(lines.some(line => line.event === "requestEnded" && line.requestId === requestId));
    assert.equal(statusLinesOf(answer), ["HTTP/1.1 200"]);
});

test("a request without a host gets a logged 400", async () => {
    const answer = await play(post({ max_tokens: 3 }, ["connection: close"]).replace("host: entry\r\n", ""));
    assert.equal(statusLinesOf(answer), ["HTTP/1.1 400"]);
    const requestId = requestIdOf(answer);
    assert.ok(requestId !== undefined, `an answer that names no request: ${answer.slice(0, 100)}`);
    assert.ok(lines.some(line => line.event === "requestEnded" && line.requestId === requestId));
});

test("an unreadable request has a line that says how the one before it ended", async () => {
    const answer = await play(post({ max_tokens: 3 }), unreadable, 1_500);
    assert.equal(statusLinesOf(answer), ["HTTP/1.1 200", "HTTP/1.1 400"]);
    const line = lines.findLast(({ event }) => event === "requestUnreadable");
    assert.match(answer, `x-request-id: ${String(line?.requestId)}`);
    const { code, status, cause, connectionRequests, last } = line!.fields;
    assert.equal([code, status, cause, connectionRequests], ["malformedRequest", 400, "HPE_INVALID_METHOD", 1]);
    assert.equal(last, { status: 200, wasAnswerSent: true, wasBodyRead: true, closes: false });
});

test("MIXED: unreadable bytes behind a running stream put another answer into it", async () => {
    const answer = await play(post({ max_tokens: 100, stream: true }), unreadable);
    assert.equal(statusLinesOf(answer), ["HTTP/1.1 200"]);
    assert.match(answer, "data: [DONE]");
});

test("unreadable bytes behind a running call make the answer say that the call has not run", async () => {
    const answer = await play(post({ max_tokens: 100 }), unreadable, 300);
    assert.equal(statusLinesOf(answer), ["HTTP/1.1 200"]);
});

test.run();
