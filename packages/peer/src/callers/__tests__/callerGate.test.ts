/** Connections and pipelined requests beyond the limits, and bodies that the process does not take. */
import { deriveCallerLimits } from "@rattanquay/core";
import { sleep, systemTimer } from "@rattanquay/timer";
import { once } from "node:events";
import { createServer, type ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { makeCallerConnections } from "../callerConnections";
import { type CallerGate, makeCallerGate } from "../callerGate";
import { makeCallerMemory } from "../callerMemory";

const get = "GET / HTTP/1.1\r\nHost: entry\r\n\r\n";
const settleMs = 80;
const settle = (): Promise<void> => sleep(systemTimer, settleMs);

type Play = {
    readonly open: () => Promise<{ readonly socket: Socket; readonly received: () => string }>;
    readonly responses: readonly ServerResponse[];
    /** How each request entered, and how its body was read. */
    readonly entries: readonly string[];
    readonly ends: readonly string[];
    /** Responses that have begun and not closed. */
    readonly running: () => number;
};

const limits = {
    ...deriveCallerLimits(),
    maxConnections: 2,
    maxPipelinedOnConnection: 3,
    maxPipelined: 1,
    bodyStallMs: 300,
};

async function playWith(play: (play: Play) => Promise<void>): Promise<void> {
    const ends: string[] = [];
    const entries: string[] = [];
    const responses: ServerResponse[] = [];
    const memory = makeCallerMemory(limits, systemTimer, {
        onEnd: reason => ends.push(reason),
        onReport: () => undefined,
        onCheck: () => undefined,
    });
    const server = createServer((request, response) => {
        const entry = gate.enter(request, response);
        if (entry.kind === "closed") {
            entries.push("closed");
            return;
        }
        responses.push(response);
        void memory.hold(request, response).readWhole({ maxBytes: () => 1_000, limitMs: 5_000 }).then(body =>
            entries.push(`${entry.isInExcess ? "excess " : ""}${body.kind}`)
        );
    });
    let running = 0;
    server.prependListener("request", (unused, response: ServerResponse) => {
        running++;
        response.once("close", () => running--);
    });
    const gate: CallerGate = makeCallerGate(server, makeCallerConnections(systemTimer.nowMs), memory);
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const sockets: Socket[] = [];
    const open = async () => {
        const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
        sockets.push(socket);
        let text = "";
        socket.on("data", data => text += data.toString());
        socket.on("error", () => undefined);
        await once(socket, "connect");
        await settle();
        return { socket, received: () => text };
    };
    try {
        await play({ open, responses, entries, ends, running: () => running });
    }
    finally {
        sockets.forEach(socket => socket.destroy());
        memory.stop();
        server.close();
        server.closeAllConnections();
    }
}

const cases: readonly { readonly name: string; readonly play: (play: Play) => Promise<void> }[] = [
    {
        name: "an idle connection keeps out a new one",
        play: async ({ open, responses, ends }) => {
            const busy = await open();
            busy.socket.write(get);
            const idle = await open();
            const next = await open();
            next.socket.write(get);
            await settle();
            assert.equal([busy, idle, next].map(({ socket }) => socket.destroyed), [false, true, false]);
            assert.is(responses.length, 2);
            assert.equal(ends, ["connections"]);
        },
    },
    {
        name: "a connection that serves a request is closed for a new one",
        play: async ({ open, responses }) => {
            for (let index = 0; index < 3; index++) {
                const { socket } = await open();
                socket.write(get);
            }
            await settle();
            assert.is(responses.length, 2);
        },
    },
    {
        name: "requests behind others are run without bound",
        play: async ({ open, entries }) => {
            (await open()).socket.write(get.repeat(3));
            await settle();
            assert.equal(entries, ["read", "read", "excess read"]);
        },
    },
    {
        name: "requests behind an answer that closes the connection are run",
        play: async ({ open, responses, entries, running }) => {
            const { socket, received } = await open();
            socket.write(get);
            await settle();
            responses[0]!.shouldKeepAlive = false;
            socket.write(get.repeat(2));
            await settle();
            responses[0]!.end("only");
            await settle();
            assert.equal(entries, ["read", "closed", "closed"]);
            assert.is(running(), 0);
            assert.match(received(), /Connection: close\r\n[^]*only$/);
        },
    },
    {
        name: "a connection pipelines without bound",
        play: async ({ open, responses, running, ends }) => {
            const { socket } = await open();
            const closed = new Promise(resolve => socket.once("close", resolve));
            socket.write(get.repeat(600));
            await closed;
            await settle();
            assert.is(responses.length, 3);
            assert.equal(ends, ["pipelined"]);
            assert.is(running(), 0);
        },
    },
    {
        name: "a body that is announced too large is read",
        play: async ({ open, entries }) => {
            (await open()).socket.write("POST / HTTP/1.1\r\nHost: entry\r\nContent-Length: 1001\r\n\r\n");
            await settle();
            assert.equal(entries, ["tooLarge"]);
        },
    },
    {
        name: "a body in chunks is read beyond its largest size",
        play: async ({ open, entries }) => {
            const chunk = `1f5\r\n${"x".repeat(501)}\r\n`;
            const head = "POST / HTTP/1.1\r\nHost: entry\r\nTransfer-Encoding: chunked\r\n\r\n";
            (await open()).socket.write(`${head}${chunk}${chunk}`);
            await settle();
            assert.equal(entries, ["tooLarge"]);
        },
    },
    {
        name: "a body without progress is waited for",
        play: async ({ open, entries, ends }) => {
            (await open()).socket.write("POST / HTTP/1.1\r\nHost: entry\r\nContent-Length: 900\r\n\r\nx");
            await sleep(systemTimer, 4 * limits.bodyStallMs);
            assert.equal(entries, ["late"]);
            assert.equal(ends, ["stalled"]);
        },
    },
];

for (const { name, play } of cases) {
    test(`CROWD: ${name}`, () => playWith(play));
}

test.run();
