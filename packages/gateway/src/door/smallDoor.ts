/** Small listeners beside the callers': whether this process is ready, and its metrics. */
import { type HostPort, openListener } from "@rattanquay/http";
import { type Server } from "node:http";

/** Answers any request with 200 while `isReady`, else with 503. */
export function startReadinessDoor(address: HostPort, isReady: () => boolean): Promise<Server> {
    return openListener(address, (unused, response) => {
        response.writeHead(isReady() ? 200 : 503, { "content-type": "text/plain" });
        response.end(isReady() ? "ready\n" : "not ready\n");
    });
}

/** Serves metrics as text. */
export function startMetricsDoor(address: HostPort, render: () => Promise<string>): Promise<Server> {
    return openListener(address, (unused, response) => {
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
