/** Whether the budget for callers counts the heads that they may send: the HTTP server holds one until it is whole. */
import { deriveCallerLimits } from "@rattanquay/core";
import { makeCallerMemory } from "@rattanquay/peer";
import { sleep, systemTimer } from "@rattanquay/timer";
import { once } from "node:events";
import { connect, createServer } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { type GatewayContext } from "../../gatewayContext";
import { makeGatewayMetrics } from "../../metrics";
import { startCallerListener } from "../callerListener";

const settleMs = 200;
const headBytes = 60_000;

async function freePort(): Promise<number> {
    const server = createServer().listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as { readonly port: number };
    await new Promise(resolve => server.close(resolve));
    return port;
}

test("memory: an unfinished head takes four times what the budget counts for its connection", async () => {
    const port = await freePort();
    const context = {
        settings: { listeners: { callers: { host: "127.0.0.1", port } } },
        metrics: makeGatewayMetrics(),
        timer: systemTimer,
        onFatalError: assert.unreachable,
    } as unknown as GatewayContext;
    const clusterState = { configuration: () => undefined } as unknown as Parameters<typeof startCallerListener>[1];
    const memory = makeCallerMemory(deriveCallerLimits(), systemTimer, {
        onEnd: assert.unreachable,
        onReport: () => assert.unreachable(),
        onCheck: () => undefined,
    });
    const listener = await startCallerListener(async () => assert.unreachable(), clusterState, context, memory);
    const socket = connect(port, "127.0.0.1");
    let isClosed = false;
    socket.on("error", () => undefined);
    socket.on("close", () => isClosed = true);
    try {
        socket.write(`GET / HTTP/1.1\r\nhost: entry\r\nx-padding: ${"x".repeat(headBytes)}`);
        await sleep(systemTimer, settleMs);
        const counted = memory.ledger.totalBytes();
        assert.ok(isClosed || counted >= headBytes, `${counted} bytes are counted`);
    }
    finally {
        socket.destroy();
        listener.close();
        memory.stop();
    }
});

test.run();
