/**
 * Answers requests that Node's HTTP server cannot read, in place of the server itself, and reports what is known of their
 * connection: whether a request before was cut short or refused tells a fault of framing here from one of the caller.
 */
import { type Server } from "node:http";
import { type Socket } from "node:net";
import { type CallerConnections, type ConnectionFacts } from "./callerConnections";

/** A request that could not be read. Holds none of its bytes. */
export type UnparsedRequest = ConnectionFacts & {
    /** Of the answer, or of the one that would have been sent. */
    readonly status: number;
    /** False if requests before it still run. */
    readonly isAnswered: boolean;
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

/**
 * Takes over the answers to unreadable requests. Behind requests that still run there is none: their caller would take it for
 * the answer to the first of them, which may have run. The connection closes once they are answered.
 */
export function answerUnparsedRequests(
    server: Server,
    connections: Pick<CallerConnections, "factsOf" | "closeWhenAnswered">,
    nowMs: () => number,
    { onUnparsed, onLine }: UnparsedRequestEvents,
): void {
    const bound = makeLineBound(nowMs);
    /** Connections that close once their requests are answered; the server reports more faults on them. */
    const waiting = new WeakSet<Socket>();
    server.on("clientError", (error: NodeJS.ErrnoException, socket: Socket) => {
        const { code: fault = "" } = error;
        // Errors of the network end the connection, and nothing can be answered.
        if (!socket.writable || !(fault === timeoutFault || fault.startsWith(parserFaultPrefix))) {
            socket.destroy();
            return;
        }
        if (waiting.has(socket)) {
            return;
        }
        const facts = connections.factsOf(socket);
        const isAnswered = !hasOthersRunning(facts);
        const status = statusByFault[fault] ?? malformedStatus;
        const unparsed: UnparsedRequest = { ...facts, status, fault, isAnswered, connectionBytes: socket.bytesRead };
        const text = onUnparsed(unparsed);
        const leftOut = bound.take();
        if (leftOut !== undefined) {
            onLine({ ...unparsed, leftOut });
        }
        if (isAnswered) {
            endWith(socket, text, facts);
            return;
        }
        waiting.add(socket);
        connections.closeWhenAnswered(socket);
    });
}

/** Whether requests came before that are complete and have no whole answer yet. */
function hasOthersRunning({ unanswered, isReadingBody }: ConnectionFacts): boolean {
    return unanswered > (isReadingBody ? 1 : 0);
}

/** An answer that has begun must not be followed by another one, and must not look complete. */
function endWith(socket: Socket, text: string, { hasBegunAnswer }: ConnectionFacts): void {
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

/** Serves requests with an `Expect` that Node does not know as if they had none: its server refuses them with 417 by itself. */
export function serveUnknownExpectations(server: Server): void {
    server.on("checkExpectation", (request, response) => server.emit("request", request, response));
}
