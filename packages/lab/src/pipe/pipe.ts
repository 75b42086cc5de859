/** A bare pipe: each request goes to one of the targets, its body and its answer pass through unread. */
import { Agent, request as httpRequest } from "node:http";
import { listen, type StandIn } from "../httpServer";

/** The index of the target that a request wants. */
export const targetHeader = "x-lab-target";

export async function startPipe(port: number, targets: readonly string[]): Promise<StandIn> {
    const agent = new Agent({ keepAlive: true, maxSockets: Infinity });
    const { server, port: bound } = await listen(port, (request, response) => {
        const target = targets[Number(request.headers[targetHeader] ?? 0)] ?? targets[0]!;
        const outgoing = httpRequest(`http://${target}${request.url}`, {
            method: request.method,
            headers: request.headers,
            agent,
        }, incoming => {
            response.writeHead(incoming.statusCode ?? 502, incoming.headers);
            incoming.pipe(response);
        });
        outgoing.on("error", () => response.destroy());
        request.pipe(outgoing);
    });
    return {
        port: bound,
        kill: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}
