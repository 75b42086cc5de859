/**
 * Watches the connections of one HTTP listener.
 *
 * An answer counts as running until its last byte has left this process, not only until it was written: a graceful stop
 * that ended earlier would cut the caller that reads slowly. A caller that stops reading altogether is cut off after a
 * time, and what it can make this process hold is one chunk beyond the socket's buffer.
 */
import { callerErrors, errorBody, headerNames } from "@rattanquay/schema";
import { randomUUID } from "node:crypto";
import { type IncomingMessage, type Server, type ServerResponse, STATUS_CODES } from "node:http";
import { type Duplex } from "node:stream";
import { type Surroundings } from "./surroundings";

export type Connections = {
    /** Answers of which some part has not left this process yet. */
    readonly running: () => number;
    /** Takes no new connection and resolves when no answer is running. */
    readonly drain: () => Promise<void>;
    /** Ends everything at once. */
    readonly close: () => void;
};

/** How far an answer had got when it was last looked at. */
type Progress = { flushedBytes: number; sinceMs: number };

/** Parser and socket errors by which a request failed before there was one, and what the caller is told. */
const requestFaults = {
    ERR_HTTP_REQUEST_TIMEOUT: "requestTimeout",
    HPE_HEADER_OVERFLOW: "headersTooLarge",
} as const satisfies Record<string, keyof typeof callerErrors>;

const checksPerStallTimeout = 4;

export function watchConnections(server: Server, listener: string, context: Surroundings): Connections {
    const { timer, settings: { limits } } = context;
    const running = new Map<ServerResponse, Progress>();
    const gauge = context.metrics.inFlight.labels({ listener });
    let draining = false;
    let onIdle: () => void = () => undefined;

    server.headersTimeout = limits.requestReadTimeoutMs;
    server.requestTimeout = limits.requestReadTimeoutMs * 2;
    server.prependListener("request", (unusedRequest: IncomingMessage, response: ServerResponse) => {
        running.set(response, { flushedBytes: 0, sinceMs: timer.nowMs() });
        gauge.set(running.size);
        if (draining) {
            response.setHeader("connection", "close");
        }
        response.once("close", () => {
            running.delete(response);
            gauge.set(running.size);
            if (running.size === 0) {
                onIdle();
            }
        });
    });
    server.on("clientError", (error: Error, socket: Duplex) => answerFault(error, socket, listener, context));
    server.on("tlsClientError", () => countFault("tlsHandshake", listener, context));
    const cancel = timer.every(limits.callerStallTimeoutMs / checksPerStallTimeout, () => {
        running.forEach((progress, response) => checkReader(response, progress, listener, context));
    });

    return {
        running: () => running.size,
        drain: () => {
            draining = true;
            server.close();
            server.closeIdleConnections();
            return running.size === 0 ? Promise.resolve() : new Promise(resolve => onIdle = resolve);
        },
        close: () => {
            cancel();
            server.close();
            server.closeAllConnections();
        },
    };
}

/** Cuts an answer of which nothing was taken for too long while some of it was waiting to go out. */
function checkReader(
    response: ServerResponse,
    progress: Progress,
    listener: string,
    context: Surroundings,
): void {
    const { timer, settings: { limits }, log } = context;
    const { socket } = response;
    const waitingBytes = socket?.writableLength ?? 0;
    const flushedBytes = (socket?.bytesWritten ?? 0) - waitingBytes;
    if (waitingBytes === 0 || flushedBytes !== progress.flushedBytes) {
        progress.flushedBytes = flushedBytes;
        progress.sinceMs = timer.nowMs();
        return;
    }
    if (timer.nowMs() - progress.sinceMs >= limits.callerStallTimeoutMs) {
        countFault("readerStalled", listener, context);
        log.warn("readerStalled", { listener, requestId: response.getHeader(headerNames.requestId), waitingBytes });
        response.destroy();
    }
}

/** Answers a request that never became one, in the callers' usual shape. */
function answerFault(error: Error, socket: Duplex, listener: string, context: Surroundings): void {
    const { code = "" } = error as NodeJS.ErrnoException;
    if (code === "ECONNRESET" || !socket.writable) {
        socket.destroy();
        return;
    }
    const fault = requestFaults[code as keyof typeof requestFaults] ?? "malformedRequest";
    const requestId = randomUUID();
    countFault(fault, listener, context);
    context.log.warn("requestUnreadable", { listener, requestId, code: fault, cause: code });
    const { status, ending } = callerErrors[fault];
    const body = errorBody(fault, requestId);
    const head = [
        `HTTP/1.1 ${status} ${STATUS_CODES[status]}`,
        "content-type: application/json",
        `content-length: ${Buffer.byteLength(body)}`,
        `${headerNames.requestId}: ${requestId}`,
        `${headerNames.outcome}: ${ending}`,
        "connection: close",
    ];
    socket.end(`${head.join("\r\n")}\r\n\r\n${body}`);
}

function countFault(kind: string, listener: string, { metrics }: Surroundings): void {
    metrics.connectionFaults.inc({ listener, kind });
}
