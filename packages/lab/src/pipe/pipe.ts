/** A minimal proxy: forwards each request to one of the targets and streams both bodies without parsing them. */
import { Agent, request as httpRequest } from "node:http";
import { listen, type StandIn } from "../httpServer";

/** Header with the index of the target that a request goes to; the first one if it is absent or out of range. */
export const targetIndexHeader = "x-lab-target";

export async function startPipe(port: number, targets: readonly string[]): Promise<StandIn> {
    const agent = new Agent({ keepAlive: true, maxSockets: Infinity });
    const { server, port: boundPort } = await listen(port, (request, response) => {
        const target = targets[Number(request.headers[targetIndexHeader] ?? 0)] ?? targets[0]!;
        const upstreamRequest = httpRequest(`http://${target}${request.url}`, {
            method: request.method,
            headers: request.headers,
            agent,
        }, upstreamResponse => {
            response.writeHead(upstreamResponse.statusCode ?? 502, upstreamResponse.headers);
            upstreamResponse.pipe(response);
        });
        upstreamRequest.on("error", () => response.destroy());
        request.pipe(upstreamRequest);
    });
    return {
        port: boundPort,
        kill: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}
