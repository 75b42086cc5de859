/**
 * Tracks the connections of one HTTP listener.
 *
 * A response counts as running until its last byte has left this process, not only until it was written. Otherwise a
 * graceful stop would cut off callers that read slowly. A caller that stops reading is disconnected after
 * `callerStallTimeoutMs`; until then it makes this process hold at most one chunk beyond the socket's buffer.
 */
import {
    answerUnparsedRequests,
    type CallerConnections,
    makeCallerConnections,
    serveUnknownExpectations,
} from "@rattanquay/peer";
import { callerErrors, errorBody, headerNames } from "@rattanquay/schema";
import { randomUUID } from "node:crypto";
import { type IncomingMessage, type Server, type ServerResponse, STATUS_CODES } from "node:http";
import { type ProcessContext } from "./processContext";

export type ConnectionTracker = {
    /** The number of responses of which some part has not left this process yet. */
    readonly running: () => number;
    /** Stops accepting connections, and resolves when no response is running. */
    readonly drain: () => Promise<void>;
    /** Closes the listener and all connections immediately. */
    readonly close: () => void;
};

/** How many bytes had left the socket at the last check, and when it last progressed or had nothing to send. */
type FlushProgress = { flushedBytes: number; sinceMs: number };

/** Errors of Node's HTTP parser and server for requests that could not be read, with the codes sent to the caller. */
const requestErrorCodes = {
    ERR_HTTP_REQUEST_TIMEOUT: "requestTimeout",
    HPE_HEADER_OVERFLOW: "headersTooLarge",
} as const satisfies Record<string, keyof typeof callerErrors>;

const checksPerStallTimeout = 4;

/** `connections` are those that the listener tracks already, if it does. */
export function trackConnections(
    server: Server,
    listener: string,
    context: ProcessContext,
    connections = trackOwn(server, context),
): ConnectionTracker {
    const { timer, settings: { limits } } = context;
    const running = new Map<ServerResponse, FlushProgress>();
    const gauge = context.metrics.inFlight.labels({ listener });
    let draining = false;
    let onIdle: () => void = () => undefined;

    server.headersTimeout = limits.requestReadTimeoutMs;
    server.requestTimeout = limits.requestReadTimeoutMs * 2;
    server.prependListener("request", (unusedRequest: IncomingMessage, response: ServerResponse) => {
        running.set(response, { flushedBytes: 0, sinceMs: timer.nowMs() });
        gauge.set(running.size);
        if (draining) {
            response.shouldKeepAlive = false;
        }
        response.once("close", () => {
            running.delete(response);
            gauge.set(running.size);
            if (running.size === 0) {
                onIdle();
            }
        });
    });
    serveUnknownExpectations(server);
    watchUnparsedRequests(server, listener, context, connections);
    server.on("tlsClientError", () => countConnectionFault("tlsHandshake", listener, context));
    const cancel = timer.every(limits.callerStallTimeoutMs / checksPerStallTimeout, () => {
        running.forEach((progress, response) => closeIfStalled(response, progress, listener, context));
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

function trackOwn(server: Server, { timer }: ProcessContext): CallerConnections {
    const connections = makeCallerConnections(timer.nowMs);
    server.prependListener("request", connections.noteRequest);
    return connections;
}

/** Destroys a response that has bytes waiting to be sent but has sent none for `callerStallTimeoutMs`. */
function closeIfStalled(
    response: ServerResponse,
    progress: FlushProgress,
    listener: string,
    context: ProcessContext,
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
        countConnectionFault("readerStalled", listener, context);
        log.warn("readerStalled", { listener, requestId: response.getHeader(headerNames.requestId), waitingBytes });
        response.destroy();
    }
}

/** Answers requests that could not be parsed, with the same error body and headers as other refusals. */
function watchUnparsedRequests(
    server: Server,
    listener: string,
    context: ProcessContext,
    connections: CallerConnections,
): void {
    let requestId = "";
    answerUnparsedRequests(server, connections, context.timer.nowMs, {
        onUnparsed: ({ fault }) => {
            requestId = randomUUID();
            const code = codeOfFault(fault);
            countConnectionFault(code, listener, context);
            context.metrics.unparsedRequests.inc({ listener, fault, status: String(callerErrors[code].status) });
            return unparsedAnswer(code, requestId);
        },
        onLine: ({ fault, ...facts }) => {
            const code = codeOfFault(fault);
            const { status } = callerErrors[code];
            context.log.warn("requestUnreadable", { ...facts, listener, requestId, code, status, cause: fault });
        },
    });
}

function codeOfFault(fault: string): keyof typeof callerErrors {
    return requestErrorCodes[fault as keyof typeof requestErrorCodes] ?? "malformedRequest";
}

function unparsedAnswer(code: keyof typeof callerErrors, requestId: string): string {
    const { status, ending } = callerErrors[code];
    const body = errorBody(code, requestId);
    const head = [
        `HTTP/1.1 ${status} ${STATUS_CODES[status]}`,
        "content-type: application/json",
        `content-length: ${Buffer.byteLength(body)}`,
        `${headerNames.requestId}: ${requestId}`,
        `${headerNames.outcome}: ${ending}`,
        "connection: close",
    ];
    return `${head.join("\r\n")}\r\n\r\n${body}`;
}

function countConnectionFault(kind: string, listener: string, { metrics }: ProcessContext): void {
    metrics.connectionFaults.inc({ listener, kind });
}
