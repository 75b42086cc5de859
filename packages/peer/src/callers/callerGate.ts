/** Lets connections and requests of callers in, up to the limits of the process. */
import { type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type Socket } from "node:net";
import { Server as TlsServer } from "node:tls";
import { type CallerConnection, type CallerConnections } from "./callerConnections";
import { type CallerMemory } from "./callerMemory";

export type RequestEntry =
    /** `isInExcess`: it came behind others, and too many such requests are unanswered. It is not to be run. */
    | { readonly kind: "entered"; readonly connection: CallerConnection; readonly isInExcess: boolean }
    /** Its connection is closed: nothing is to be done. */
    | { readonly kind: "closed" };

export type CallerGate = { readonly enter: (request: IncomingMessage, response: ServerResponse) => RequestEntry };

/** Counts the connections of `server`, and makes room for new ones at the limit. */
export function makeCallerGate(server: Server, connections: CallerConnections, memory: CallerMemory): CallerGate {
    const { limits, ledger } = memory;
    // Requests on a TLS server belong to the decrypted connection, which exists only after the handshake.
    if (server instanceof TlsServer) {
        server.maxConnections = limits.maxConnections;
    }
    server.on(server instanceof TlsServer ? "secureConnection" : "connection", (socket: Socket) => {
        if (connections.count() >= limits.maxConnections) {
            memory.noteEnd("connections");
            if (!connections.closeLongestIdle() && !ledger.evict()) {
                socket.destroy();
                return;
            }
        }
        connections.add(socket);
        memory.addConnection(socket);
    });
    return {
        enter: (request, response) => {
            const { socket } = request;
            if (socket.destroyed) {
                // The rest of a block of requests whose connection was reset: Node emits no `close` for their responses.
                response.emit("close");
                return { kind: "closed" };
            }
            if (connections.isClosing(socket)) {
                // Its caller sent it before it could know; it gets no answer, so it must not be run.
                response.emit("close");
                return { kind: "closed" };
            }
            const connection = connections.noteRequest(request, response);
            const unanswered = connection.unanswered();
            if (unanswered > limits.maxPipelinedOnConnection) {
                memory.noteEnd("pipelined");
                socket.resetAndDestroy();
                return { kind: "closed" };
            }
            return {
                kind: "entered",
                connection,
                isInExcess: unanswered > 1 && connections.pipelined() > limits.maxPipelined,
            };
        },
    };
}
