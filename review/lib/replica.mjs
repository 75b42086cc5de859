/**
 * A stand-in for a replica of a plain service. A sound one answers with the request's `Attempt-Id`, a seal and a whole
 * body. `answer` may be replaced to play what the pages name as a fault. It notes every request that began to run.
 */
import { createServer } from "node:http";

const host = "127.0.0.1";

export const sealOf = request => `seal.${request.headers["attempt-id"]}`;

export const headersOf = request => ({
    "attempt-id": request.headers["attempt-id"],
    "response-seal": sealOf(request),
    "replica-load": "1,0,6",
});

/** The sound answer: about the size that the pages give for plain requests. */
export const soundBody = request => `sound answer to ${request.headers["attempt-id"]} `.padEnd(800, "x");

export const soundAnswer = workMs => (request, response) => {
    setTimeout(() => {
        const body = soundBody(request);
        response.writeHead(200, { ...headersOf(request), "content-length": Buffer.byteLength(body) });
        response.end(body);
    }, workMs);
};

export async function startReplica({ id, service, zone, slots = 6, workMs = 40, note = () => undefined }) {
    const runs = [];
    const replica = { id, runs, answer: soundAnswer(workMs) };
    const server = createServer((request, response) => {
        const chunks = [];
        request.on("data", chunk => chunks.push(chunk));
        request.on("end", () => {
            const expected = request.headers["expect-replica"];
            if (expected !== undefined && expected !== id) {
                response.writeHead(421, { "replica-id": id });
                response.end();
                return;
            }
            const run = { attempt: request.headers["attempt-id"], method: request.method, path: request.url };
            runs.push(run);
            note(`replica ${id} runs ${run.attempt} ${run.method} ${run.path}`);
            replica.answer(request, response);
        });
    });
    server.keepAliveTimeout = 15_000;
    await new Promise(resolve => server.listen(0, host, resolve));
    const born = Date.now();
    const address = `${host}:${server.address().port}`;
    let sequence = 0;
    return Object.assign(replica, {
        address,
        server,
        /** What the replica writes into its row `servers/ID`. */
        entry: (extra = {}) => ({
            service,
            address,
            zone,
            version: "v1",
            slots,
            state: "ready",
            cold_remaining_ms: 0,
            phase: "mixed",
            models: [],
            sequence: ++sequence,
            born,
            ...extra,
        }),
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    });
}
