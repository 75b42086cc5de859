/** Small HTTP servers for stand-ins. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type AddressInfo } from "node:net";

export type Handler = (request: IncomingMessage, response: ServerResponse, path: string) => void | Promise<void>;

/** A running stand-in: where it listens, and how to end it as if it were killed. */
export type StandIn = { readonly port: number; readonly kill: () => void };

/** Listens on loopback; port 0 takes a free one. */
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

/** Calls a stand-in's control endpoint with a JSON body. */
export async function control(port: number, path: string, body: unknown): Promise<void> {
    await fetch(`http://127.0.0.1:${port}${path}`, { method: "POST", body: JSON.stringify(body) });
}
