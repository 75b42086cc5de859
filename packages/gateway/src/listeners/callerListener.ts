/** The listener for caller requests. */
import {
    answerUnparsedRequests,
    type CallerConnection,
    type CallerMemory,
    makeCallerConnections,
    makeCallerGate,
    serveUnknownExpectations,
} from "@rattanquay/peer";
import { createServer, type IncomingMessage, type ServerResponse, STATUS_CODES } from "node:http";
import { Server as NetServer } from "node:net";
import { type ClusterState } from "../clusterState";
import { errorFields } from "../errorFields";
import { type GatewayContext } from "../gatewayContext";

export type CallerListener = {
    readonly inFlight: () => number;
    readonly openConnections: () => number;
    /** Asks callers to reconnect elsewhere: answers whose head is not written yet say that the connection closes. */
    readonly startDraining: () => void;
    /** Stops accepting connections, and closes each as soon as it serves nothing. */
    readonly stopListening: () => void;
    readonly close: () => void;
};

/** `isInExcess`: the request came behind others, and too many such requests are unanswered. It is not to be run. */
export type Serve = (
    request: IncomingMessage,
    response: ServerResponse,
    connection: CallerConnection,
    isInExcess: boolean,
) => Promise<void>;

const defaultHeaderTimeoutMs = 3_000;
const defaultIdleTimeoutMs = 15_000;
/** The HTTP server's own bound on a head. The configuration's bound decides; one above this has no effect. */
const maxHeadBytesCeiling = 65_536;
/** How often Node checks for connections whose headers are overdue. */
const connectionsCheckingInterval = 500;
/** How often timeouts are updated from the current configuration. */
const timeoutUpdateEveryMs = 1_000;

/** Resolves once the listener accepts connections. */
export async function startCallerListener(
    serve: Serve,
    clusterState: ClusterState,
    context: GatewayContext,
    callerMemory: CallerMemory,
): Promise<CallerListener> {
    const { settings: { listeners: { callers } }, metrics, timer, log } = context;
    const connections = makeCallerConnections(timer.nowMs);
    let isDraining = false;
    const options = { connectionsCheckingInterval, requireHostHeader: false, maxHeaderSize: maxHeadBytesCeiling };
    const server = createServer(options, (request, response) => {
        const entry = gate.enter(request, response);
        if (entry.kind === "closed") {
            return;
        }
        metrics.inFlight.set(connections.running().size);
        if (isDraining) {
            response.shouldKeepAlive = false;
        }
        response.once("close", () => metrics.inFlight.set(connections.running().size));
        serve(request, response, entry.connection, entry.isInExcess).catch((error: unknown) => {
            metrics.unexpectedErrors.inc({ origin: "request" });
            log.error("unexpectedError", { origin: "request", path: request.url, ...errorFields(error) });
            request.socket.resetAndDestroy();
        });
    });
    server.headersTimeout = defaultHeaderTimeoutMs;
    server.keepAliveTimeout = defaultIdleTimeoutMs;
    const gate = makeCallerGate(server, connections, callerMemory);
    serveUnknownExpectations(server);
    answerUnparsedRequests(server, connections, timer.nowMs, {
        onUnparsed: ({ status, fault }) => {
            metrics.unparsedRequests.inc({ fault, status: String(status) });
            return unparsedAnswer(status);
        },
        onLine: unparsed => log.warn("requestUnparsed", unparsed),
    });
    const cancel = timer.every(timeoutUpdateEveryMs, () => {
        const bounds = clusterState.configuration()?.bounds;
        if (bounds !== undefined) {
            server.headersTimeout = bounds.headerTimeoutMs;
            server.keepAliveTimeout = bounds.idleTimeoutMs;
        }
    });
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(callers.port, callers.host, resolve);
    });
    return {
        inFlight: () => connections.running().size,
        openConnections: connections.count,
        startDraining: () => {
            isDraining = true;
            connections.announceClose();
        },
        stopListening: () => {
            // The server's own `close` also closes connections whose answer is written but not sent.
            NetServer.prototype.close.call(server);
            connections.closeWhenIdle();
        },
        close: () => {
            cancel();
            connections.closeAll();
            server.close();
        },
    };
}

/** The answer of Node's own server, with its end marked. */
function unparsedAnswer(status: number): string {
    return `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`;
}
