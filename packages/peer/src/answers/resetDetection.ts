/**
 * Tells whether a connection that has ended was closed or reset.
 *
 * An answer without a length or chunked framing ends with its connection, so a reset is the only sign that it is
 * incomplete. But when data and a reset arrive together, Node reports a normal end. A write to the connection then still
 * fails if it was reset, and succeeds if the other side only closed it.
 */
import { type Socket } from "node:net";
import { Writable } from "node:stream";

/** Resolves to whether the connection was reset. To be called before the connection ends. */
export function detectReset(socket: Socket): Promise<boolean> {
    return new Promise(resolve => {
        socket.once("error", () => resolve(true));
        socket.once("close", hadError => resolve(hadError));
        socket.prependOnceListener("end", () => {
            // Servers ignore an empty line where a request may begin. The socket's own `write` refuses after an end.
            Writable.prototype.write.call(socket, "\r\n", "latin1", error => resolve(error instanceof Error));
        });
    });
}
