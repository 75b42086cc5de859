/**
 * Tracks the connections of callers, and closes them when they serve nothing.
 *
 * Node's `closeIdleConnections` spares connections that have carried no request yet, and closes those whose answer is
 * written but not sent.
 */
import { type IncomingMessage, type ServerResponse } from "node:http";
import { type Socket } from "node:net";

/** One connection of a caller. */
export type CallerConnection = {
    /** On the local clock. */
    readonly openedAtMs: number;
    /** The number of requests that have come on it, the current one included. */
    readonly requests: number;
    /** Requests that have no whole answer yet, the current one included. */
    readonly unanswered: () => number;
};

/** What is known of a connection, for the log. */
export type ConnectionFacts = {
    readonly connectionAgeMs: number;
    readonly connectionRequests: number;
    readonly unanswered: number;
    /** Whether the head of an answer was sent that is not complete. */
    readonly hasBegunAnswer: boolean;
    /** Whether the body of a request that has no whole answer yet is not complete. */
    readonly isReadingBody: boolean;
    /** How the last request that has ended did so; undefined if none has. */
    readonly last: LastRequest | undefined;
};

type LastRequest = {
    /** 0 if no head of an answer was sent. */
    readonly status: number;
    readonly wasAnswerSent: boolean;
    readonly wasBodyRead: boolean;
    /** Whether its answer said that the connection closes. */
    readonly closes: boolean;
};

export type CallerConnections = {
    readonly add: (socket: Socket) => void;
    readonly noteRequest: (request: IncomingMessage, response: ServerResponse) => CallerConnection;
    readonly count: () => number;
    /** A connection that is not tracked yet is from now on. */
    readonly factsOf: (socket: Socket) => ConnectionFacts;
    /** Whether an answer that was sent, is under way or waits says that the connection closes behind it. */
    readonly isClosing: (socket: Socket) => boolean;
    /** Closes the connection as soon as its requests are answered. */
    readonly closeWhenAnswered: (socket: Socket) => void;
    /** Unanswered requests that came behind another one on their connection. */
    readonly pipelined: () => number;
    /**
     * Closes a connection that serves nothing: one that has not carried a whole request yet before one that has, the oldest
     * first. False if there is none.
     */
    readonly closeLongestIdle: () => boolean;
    /** Responses of which a part has not left this process yet. */
    readonly running: () => ReadonlySet<ServerResponse>;
    /** Makes the last answer on each connection say that it closes, unless its head has been sent. */
    readonly announceClose: () => void;
    /** Closes the connections that serve nothing, and the others as soon as they do. */
    readonly closeWhenIdle: () => void;
    /** Closes all connections. Those with an answer under way are reset, so that none looks complete. */
    readonly closeAll: () => void;
};

type TrackedConnection = {
    readonly openedAtMs: number;
    requests: number;
    readonly running: Set<ServerResponse>;
    last: LastRequest | undefined;
    closesWhenAnswered: boolean;
    /** How many bytes had been received when the last request was complete; any beyond them begin another. */
    bytesServed: number;
    /** When it was opened, or its last answer ended. */
    idleSinceMs: number;
    readonly unanswered: () => number;
};

export function makeCallerConnections(nowMs: () => number): CallerConnections {
    const connections = new Map<Socket, TrackedConnection>();
    const running = new Set<ServerResponse>();
    let isClosing = false;
    let pipelined = 0;
    const add = (socket: Socket): TrackedConnection => {
        const openedAtMs = nowMs();
        const own = new Set<ServerResponse>();
        const connection: TrackedConnection = {
            openedAtMs,
            requests: 0,
            running: own,
            last: undefined,
            closesWhenAnswered: false,
            bytesServed: 0,
            idleSinceMs: openedAtMs,
            unanswered: () => own.size,
        };
        connections.set(socket, connection);
        socket.once("close", () => {
            connections.delete(socket);
            // Node does not close responses that wait behind another one on the connection.
            connection.running.forEach(response => response.emit("close"));
        });
        return connection;
    };
    const closeIfIdle = (socket: Socket, connection: TrackedConnection): void => {
        if (connection.closesWhenAnswered && connection.running.size === 0) {
            socket.destroySoon();
            return;
        }
        if (isClosing && connection.running.size === 0 && socket.bytesRead === connection.bytesServed) {
            socket.destroy();
        }
    };
    return {
        add,
        noteRequest: (request, response) => {
            const { socket } = request;
            const connection = connections.get(socket) ?? add(socket);
            connection.requests++;
            pipelined += connection.running.size > 0 ? 1 : 0;
            connection.running.add(response);
            running.add(response);
            response.once("close", () => {
                connection.running.delete(response);
                running.delete(response);
                pipelined -= connection.running.size > 0 ? 1 : 0;
                connection.idleSinceMs = nowMs();
                connection.last = describeEnd(request, response);
                if (request.complete) {
                    connection.bytesServed = socket.bytesRead;
                }
                closeIfIdle(socket, connection);
            });
            return connection;
        },
        count: () => connections.size,
        factsOf: socket => describe(connections.get(socket) ?? add(socket), nowMs()),
        isClosing: socket =>
            // After the last answer has been handed over, the server ends the connection.
            socket.writableEnded
            || [...connections.get(socket)?.running ?? []].some(({ shouldKeepAlive }) => !shouldKeepAlive),
        closeWhenAnswered: socket => {
            const connection = connections.get(socket) ?? add(socket);
            connection.closesWhenAnswered = true;
            announceClose(connection);
            closeIfIdle(socket, connection);
        },
        pipelined: () => pipelined,
        closeLongestIdle: () => {
            const [idlest] = [...connections].filter(([, { running: own }]) => own.size === 0).sort(([, a], [, b]) =>
                Number(a.requests > 0) - Number(b.requests > 0) || a.idleSinceMs - b.idleSinceMs
            );
            idlest?.[0].destroy();
            // Its `close` event comes later.
            return idlest !== undefined && connections.delete(idlest[0]);
        },
        running: () => running,
        announceClose: () => connections.forEach(announceClose),
        closeWhenIdle: () => {
            isClosing = true;
            connections.forEach((connection, socket) => closeIfIdle(socket, connection));
        },
        closeAll: () => {
            connections.forEach((connection, socket) => {
                if (connection.running.size > 0) {
                    socket.resetAndDestroy();
                    return;
                }
                socket.destroy();
            });
        },
    };
}

/** Only the last answer may say so: the server closes the connection behind the first one that does. */
function announceClose({ running }: TrackedConnection): void {
    const last = [...running].at(-1);
    if (last !== undefined && !last.headersSent) {
        last.shouldKeepAlive = false;
    }
}

function describe({ openedAtMs, requests, running, last }: TrackedConnection, nowMs: number): ConnectionFacts {
    return {
        connectionAgeMs: Math.round(nowMs - openedAtMs),
        connectionRequests: requests,
        unanswered: running.size,
        hasBegunAnswer: [...running].some(({ headersSent }) => headersSent),
        isReadingBody: [...running].some(({ req }) => !req.complete),
        last,
    };
}

function describeEnd({ complete }: IncomingMessage, response: ServerResponse): LastRequest {
    const { headersSent, statusCode, writableFinished, shouldKeepAlive } = response;
    return {
        status: headersSent ? statusCode : 0,
        wasAnswerSent: writableFinished,
        wasBodyRead: complete,
        closes: !shouldKeepAlive,
    };
}
