/**
 * Answers requests that Node's HTTP server cannot read, in place of the server itself, and reports what is known of their
 * connection: whether a request before was cut short or refused tells a fault of framing here from one of the caller.
 */
import { type Server } from "node:http";
import { type Socket } from "node:net";
import { type CallerConnections, type ConnectionFacts } from "./callerConnections";

/** A request that could not be read. Holds none of its bytes. */
export type UnparsedRequest = Partial<ConnectionFacts> & {
    readonly status: number;
    /** The code of the parser's or the server's error. */
    readonly fault: string;
    /** Received on the connection so far. */
    readonly connectionBytes: number;
};

export type UnparsedRequestEvents = {
    /** Called for each; returns the text of the answer. */
    readonly onUnparsed: (unparsed: UnparsedRequest) => string;
    /** Called for at most `maxLinesPerSecond` of them; `leftOut` are those since the last call. */
    readonly onLine: (unparsed: UnparsedRequest & { readonly leftOut: number }) => void;
};

export const maxLinesPerSecond = 20;
const msPerSecond = 1_000;
const timeoutFault = "ERR_HTTP_REQUEST_TIMEOUT";
const parserFaultPrefix = "HPE_";
const malformedStatus = 400;
const statusByFault: Readonly<Record<string, number>> = {
    HPE_HEADER_OVERFLOW: 431,
    HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
    [timeoutFault]: 408,
};

/** Takes over the answers to unreadable requests. Without `connections`, nothing is known of their connection. */
export function answerUnparsedRequests(
    server: Server,
    connections: Pick<CallerConnections, "factsOf"> | undefined,
    nowMs: () => number,
    { onUnparsed, onLine }: UnparsedRequestEvents,
): void {
    const bound = makeLineBound(nowMs);
    server.on("clientError", (error: NodeJS.ErrnoException, socket: Socket) => {
        const { code: fault = "" } = error;
        // Errors of the network end the connection, and nothing can be answered.
        if (!socket.writable || !(fault === timeoutFault || fault.startsWith(parserFaultPrefix))) {
            socket.destroy();
            return;
        }
        const unparsed: UnparsedRequest = {
            status: statusByFault[fault] ?? malformedStatus,
            fault,
            connectionBytes: socket.bytesRead,
            ...connections?.factsOf(socket),
        };
        const text = onUnparsed(unparsed);
        const leftOut = bound.take();
        if (leftOut !== undefined) {
            onLine({ ...unparsed, leftOut });
        }
        endWith(socket, text, unparsed);
    });
}

/** An answer whose head has been sent must not be followed by another one, and must not look complete. */
function endWith(socket: Socket, text: string, { hasBegunAnswer = false }: UnparsedRequest): void {
    if (hasBegunAnswer) {
        socket.resetAndDestroy();
        return;
    }
    socket.write(text);
    socket.destroySoon();
}

/** `take` returns how many lines were left out before, or undefined if this one is to be left out too. */
function makeLineBound(nowMs: () => number): { readonly take: () => number | undefined } {
    let startedAtMs = -Infinity;
    let lines = 0;
    let leftOut = 0;
    return {
        take: () => {
            if (nowMs() - startedAtMs >= msPerSecond) {
                startedAtMs = nowMs();
                lines = 0;
            }
            if (++lines > maxLinesPerSecond) {
                leftOut++;
                return undefined;
            }
            const before = leftOut;
            leftOut = 0;
            return before;
        },
    };
}
