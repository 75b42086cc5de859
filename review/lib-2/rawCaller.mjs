// A caller that tells a connection that was closed from one that was reset. Where data and a reset arrive together, Node
// reports a plain end; a write then still fails if the connection was reset, and succeeds if it was only closed.
import { connect } from "node:net";

/** Sends one request on a connection of its own; resolves to what came, and whether the connection was closed or reset. */
export function callOnce(address, { method, path, headers, body }) {
    const [host, port] = address.split(":");
    return new Promise(resolve => {
        const chunks = [];
        const socket = connect({ host, port: Number(port), allowHalfOpen: true });
        const finish = ending => {
            const bytes = Buffer.concat(chunks);
            const headEnd = bytes.indexOf("\r\n\r\n");
            const [statusLine = "", ...lines] = (headEnd < 0 ? "" : bytes.subarray(0, headEnd).toString("latin1"))
                .split("\r\n");
            const answerHeaders = Object.fromEntries(lines.map(line => {
                const colon = line.indexOf(":");
                return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
            }));
            socket.destroy();
            resolve({
                ending,
                status: headEnd < 0 ? undefined : Number(statusLine.split(" ")[1]),
                headers: answerHeaders,
                body: headEnd < 0 ? Buffer.alloc(0) : bytes.subarray(headEnd + 4),
            });
        };
        socket.on("data", chunk => chunks.push(chunk));
        socket.on("error", () => finish("reset"));
        socket.on("end", () => socket.write("\r\n", error => finish(error ? "reset" : "closed")));
        socket.on("connect", () => {
            const lines = Object.entries({ ...headers, "Content-Length": String(body.length) });
            socket.write(
                `${method} ${path} HTTP/1.1\r\n${
                    lines.map(([name, value]) => `${name}: ${value}\r\n`).join("")
                }\r\n${body}`,
            );
        });
    });
}
