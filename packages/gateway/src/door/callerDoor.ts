/** The callers' listener. */
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import { type Beliefs } from "../beliefs";
import { type Surroundings } from "../surroundings";

export type CallerDoor = {
    readonly inFlight: () => number;
    readonly openConnections: () => number;
    /** Tells callers with each answer to come back on another connection. */
    readonly startLeaving: () => void;
    /** Takes no new connection and closes those on which nothing runs. */
    readonly closeIdle: () => void;
    readonly close: () => void;
};

export type Serve = (request: IncomingMessage, response: ServerResponse) => Promise<void>;

const defaultHeaderTimeoutMs = 3_000;
const defaultIdleTimeoutMs = 15_000;
/** How often Node looks for connections whose headers are late. */
const connectionsCheckingInterval = 500;
/** The bounds of a new configuration are taken over this often. */
const boundsEveryMs = 1_000;

/** Resolves when the listener is bound. */
export async function startCallerDoor(serve: Serve, beliefs: Beliefs, surroundings: Surroundings): Promise<CallerDoor> {
    const { settings: { listeners: { callers } }, metrics, timer, onBroken } = surroundings;
    const running = new Set<ServerResponse>();
    let connections = 0;
    let leaving = false;
    const server = createServer({ connectionsCheckingInterval, requireHostHeader: false }, (request, response) => {
        running.add(response);
        metrics.inFlight.set(running.size);
        if (leaving) {
            response.shouldKeepAlive = false;
        }
        response.once("close", () => {
            running.delete(response);
            metrics.inFlight.set(running.size);
        });
        serve(request, response).catch(error => onBroken("callerDoor", error));
    });
    server.headersTimeout = defaultHeaderTimeoutMs;
    server.keepAliveTimeout = defaultIdleTimeoutMs;
    server.on("connection", socket => {
        connections++;
        socket.once("close", () => connections--);
    });
    const cancel = timer.every(boundsEveryMs, () => {
        const bounds = beliefs.configuration()?.bounds;
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
        openConnections: () => connections,
        startLeaving: () => {
            leaving = true;
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
