/** Sends SIGTERM to entry instances, run as separate processes, while they relay streams. */
import { sleep, systemTimer } from "@rattanquay/timer";
import { type ChildProcess } from "node:child_process";
import { once } from "node:events";
import { readFileSync } from "node:fs";
import { connect } from "node:net";
import { join } from "node:path";
import { text } from "node:stream/consumers";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { defaultSpec, type ProcessCluster, startProcessCluster, waitUntil } from "../cluster";
import { expectedText } from "../engine";
import { callChat, type CallResult } from "../load";

const streamCount = 20;
const tokensPerStream = 150;
const noticeMs = 800;
const messages = [{ role: "user", content: "Summarise the span log of line 8." }];

let cluster: ProcessCluster;

test.before(async () => {
    cluster = await startProcessCluster({
        ...defaultSpec,
        zones: 1,
        entriesPerZone: 3,
        concurrency: 32,
        engine: { maxRunning: 32 },
        settings: { limits: { shutdownNoticeMs: noticeMs, shutdownGraceMs: 20_000 } },
    });
});

test.after(() => cluster.stop());

/** Starts the streams and resolves when each has received its first token. */
const startStreams = async (port: number, count = streamCount): Promise<readonly Promise<CallResult>[]> => {
    let startedStreams = 0;
    const onToken = (index: number): void => {
        startedStreams += index === 1 ? 1 : 0;
    };
    const calls = Array.from(
        { length: count },
        () => callChat({ port, messages, maxTokens: tokensPerStream, onToken }),
    );
    const ended: string[] = [];
    calls.forEach(call => void call.then(({ status, errorCode }) => ended.push(`${status} ${errorCode ?? ""}`)));
    await waitUntil("all streams to have begun", 10_000, () => startedStreams === count).catch(error => {
        throw new Error(`${(error as Error).message}; ${startedStreams} began, already ended: ${ended.join(", ")}`);
    });
    return calls;
};

const exitOf = (child: ChildProcess): Promise<number | null> => new Promise(resolve => child.once("exit", resolve));

const eventsOf = (name: string): readonly Record<string, unknown>[] =>
    readFileSync(join(cluster.folder, "logs", `${name}.log`), "utf8").trim().split("\n").map(line => JSON.parse(line));

test("SIGTERM interrupts no stream, fails readiness first and serves calls during the notice period", async () => {
    const { name, port, ports, child } = cluster.entries[0]!;
    const calls = await startStreams(port);
    const exit = exitOf(child);
    child.kill("SIGTERM");
    const readyStatus = async (): Promise<number> => (await fetch(`http://127.0.0.1:${port}/readyz`)).status;
    await waitUntil("readiness to fail", noticeMs, async () => await readyStatus() === 503);
    assert.is((await fetch(`http://127.0.0.1:${ports.operators}/readyz`)).status, 503);
    const callDuringNotice = await callChat({ port, messages, maxTokens: 5 });
    assert.ok(
        callDuringNotice.whole,
        `a call in the notice period got ${callDuringNotice.status} ${callDuringNotice.errorCode}`,
    );
    const results = await Promise.all(calls);
    assert.is(
        results.filter(({ whole, text }) => whole && text === expectedText(messages, tokensPerStream)).length,
        streamCount,
    );
    assert.is(await exit, 0);
    assert.is(eventsOf(name).find(({ message }) => message === "stopped")?.cut, 0);
});

test("a second SIGTERM stops at once, and no cut stream looks whole", async () => {
    const { name, port, child } = cluster.entries[1]!;
    const calls = await startStreams(port);
    const exit = exitOf(child);
    child.kill("SIGTERM");
    await waitUntil(
        "the first signal to be handled",
        2_000,
        () => eventsOf(name).some(({ message }) => message === "leaving"),
    );
    child.kill("SIGTERM");
    assert.is(await exit, 1);
    const results = await Promise.all(calls);
    assert.is(results.filter(result => result.whole).length, 0);
    assert.ok(eventsOf(name).some(({ message }) => message === "stoppedAtOnce"));
});

test("each event is one JSON line with process and zone, and events of a request carry its ids", async () => {
    const { name, port } = cluster.entries[2]!;
    await callChat({ port, messages, maxTokens: 3, requestId: "heater-17" });
    await sleep(systemTimer, 100);
    const events = eventsOf(name);
    assert.ok(events.every(event => event.process === name && event.availabilityZone === "zone-a"));
    const ended = events.find(({ requestId }) => requestId === "heater-17");
    assert.is(ended?.message, "requestEnded");
    assert.match(String(ended?.traceId), /^[0-9a-f]{32}$/);
});

test("a request on an unused connection after the notice period is refused as not run, while streams still run", async () => {
    const { port, child } = cluster.entries[2]!;
    const calls = await startStreams(port, 1);
    const socket = connect(port, "127.0.0.1");
    await once(socket, "connect");
    const exit = exitOf(child);
    child.kill("SIGTERM");
    await sleep(systemTimer, noticeMs + 300);
    socket.write("GET /v1/models HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer key\r\n\r\n");
    const answer = (await text(socket)).toLowerCase();
    assert.match(answer, /^http\/1.1 503 .*connection: close.*"code":"notready"/s);
    assert.ok((await Promise.all(calls)).every(({ whole }) => whole));
    assert.is(await exit, 0);
});

test.run();
