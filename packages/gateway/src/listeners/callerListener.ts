/** The listener for caller requests. */
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import { type Socket } from "node:net";
import { type ClusterState } from "../clusterState";
import { type GatewayContext } from "../gatewayContext";

export type CallerListener = {
    readonly inFlight: () => number;
    readonly openConnections: () => number;
    /** Closes connections after their current response, so that callers reconnect elsewhere. */
    readonly startDraining: () => void;
    /** Stops accepting connections and closes idle ones. */
    readonly closeIdle: () => void;
    readonly close: () => void;
};

/** One connection of a caller: when it was opened, on the local clock, and how many requests have come on it. */
export type CallerConnection = { readonly openedAtMs: number; requests: number };

export type Serve = (request: IncomingMessage, response: ServerResponse, connection: CallerConnection) => Promise<void>;

const defaultHeaderTimeoutMs = 3_000;
const defaultIdleTimeoutMs = 15_000;
/** How often Node checks for connections whose headers are overdue. */
const connectionsCheckingInterval = 500;
/** How often timeouts are updated from the current configuration. */
const timeoutUpdateEveryMs = 1_000;

/** Resolves once the listener accepts connections. */
export async function startCallerListener(
    serve: Serve,
    clusterState: ClusterState,
    context: GatewayContext,
): Promise<CallerListener> {
    const { settings: { listeners: { callers } }, metrics, timer, onFatalError } = context;
    const running = new Set<ServerResponse>();
    const connections = new Map<Socket, CallerConnection>();
    let isDraining = false;
    const server = createServer({ connectionsCheckingInterval, requireHostHeader: false }, (request, response) => {
        running.add(response);
        metrics.inFlight.set(running.size);
        if (isDraining) {
            response.shouldKeepAlive = false;
        }
        response.once("close", () => {
            running.delete(response);
            metrics.inFlight.set(running.size);
        });
        const connection = connections.get(request.socket) ?? { openedAtMs: timer.nowMs(), requests: 0 };
        connection.requests++;
        serve(request, response, connection).catch(error => onFatalError("callerListener", error));
    });
    server.headersTimeout = defaultHeaderTimeoutMs;
    server.keepAliveTimeout = defaultIdleTimeoutMs;
    server.on("connection", socket => {
        connections.set(socket, { openedAtMs: timer.nowMs(), requests: 0 });
        socket.once("close", () => connections.delete(socket));
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
        inFlight: () => running.size,
        openConnections: () => connections.size,
        startDraining: () => {
            isDraining = true;
            running.forEach(response => {
                if (!response.headersSent) {
                    response.shouldKeepAlive = false;
                }
            });
        },
        closeIdle: () => {
            server.close();
            server.closeIdleConnections();
        },
        close: () => {
            cancel();
            server.close();
            server.closeAllConnections();
        },
    };
}
