/** Listeners for operators: readiness checks and metrics. */
import { createServer, type RequestListener, type Server } from "node:http";

export type Address = { readonly host: string; readonly port: number };

/** Answers any request with 200 while `isReady` returns true, else with 503. */
export function startReadinessListener(address: Address, isReady: () => boolean): Promise<Server> {
    return listen(address, (unused, response) => {
        response.writeHead(isReady() ? 200 : 503, { "content-type": "text/plain" });
        response.end(isReady() ? "ready\n" : "not ready\n");
    });
}

/** Serves metrics in the Prometheus text format. */
export function startMetricsListener(address: Address, render: () => Promise<string>): Promise<Server> {
    return listen(address, (unused, response) => {
        render().then(
            text => {
                response.writeHead(200, { "content-type": "text/plain; version=0.0.4" });
                response.end(text);
            },
            (error: Error) => {
                response.writeHead(500, { "content-type": "text/plain" });
                response.end(`${error.message}\n`);
            },
        );
    });
}

function listen({ host, port }: Address, listener: RequestListener): Promise<Server> {
    const server = createServer(listener);
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, () => resolve(server));
    });
}
