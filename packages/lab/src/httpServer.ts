/** HTTP helpers for the stand-ins. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type AddressInfo } from "node:net";

export type Handler = (request: IncomingMessage, response: ServerResponse, path: string) => void | Promise<void>;

/** A running stand-in. `kill` drops its listener and all connections at once, as if its process were killed. */
export type StandIn = { readonly port: number; readonly kill: () => void };

/** Starts an HTTP server on 127.0.0.1; port 0 picks a free port. An error in the handler drops the connection. */
export function listen(port: number, handler: Handler): Promise<{ readonly server: Server; readonly port: number }> {
    const server = createServer({ keepAliveTimeout: 60_000 }, (request, response) => {
        const path = (request.url ?? "/").split("?")[0]!;
        Promise.resolve(handler(request, response, path)).catch(error => {
            response.destroy(error as Error);
        });
    });
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, "127.0.0.1", () => resolve({ server, port: (server.address() as AddressInfo).port }));
    });
}

export async function readText(request: IncomingMessage): Promise<string> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
        chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks).toString("utf8");
}

export function sendJson(response: ServerResponse, status: number, body: unknown): void {
    response.writeHead(status, { "content-type": "application/json" });
    response.end(JSON.stringify(body));
}

/** Sends a JSON body to a control endpoint of a stand-in. */
export async function postControl(port: number, path: string, body: unknown): Promise<void> {
    await fetch(`http://127.0.0.1:${port}${path}`, { method: "POST", body: JSON.stringify(body) });
}
