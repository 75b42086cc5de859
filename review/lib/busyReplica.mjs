/**
 * A stand-in for a replica with slots and a short queue, which turns away what is beyond them with the answer that
 * `fleetbench wire` shows: `503` with `Not-Executed`. When told so, it sends up to 3 in 100 of its answers twice.
 */
import { createServer } from "node:http";
import { headersOf, soundBody } from "./replica.mjs";

const host = "127.0.0.1";
const slots = 6;
/** What a replica queues beyond its slots, unless a case says less. */
const usualQueueLength = 24;
/** Extra answers are at most this share of all answers since they began. */
const extraShare = 0.03;

const refusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";

export async function startBusyReplica({ id, service, zone, workMs = 60, queueLength = usualQueueLength, note }) {
    const runs = [];
    const queue = [];
    let running = 0;
    let shed = 0;
    let hasExtras = false;
    let answers = 0;
    let extras = 0;
    /** The extra copies that are due on a connection. */
    const due = new WeakMap();
    const finish = (request, response) => {
        const body = soundBody(request);
        answers++;
        response.writeHead(200, { ...headersOf(request), "content-length": Buffer.byteLength(body) });
        response.end(body);
        running--;
        const next = queue.shift();
        if (next !== undefined) {
            begin(...next);
        }
    };
    const begin = (request, response) => {
        if (response.destroyed) {
            const next = queue.shift();
            if (next !== undefined) {
                begin(...next);
            }
            return;
        }
        running++;
        runs.push({ attempt: request.headers["attempt-id"] });
        note(`replica ${id} runs ${request.headers["attempt-id"]}`);
        setTimeout(() => finish(request, response), workMs);
    };
    const turnAway = (request, response) => {
        shed++;
        answers++;
        response.writeHead(503, { "not-executed": "1", "content-length": 0 });
        response.end();
        if (hasExtras && extras + 1 <= answers * extraShare) {
            extras++;
            note(`replica ${id} turns ${request.headers["attempt-id"]} away, and will say so once more`);
            due.set(request.socket, refusal);
        }
    };
    const server = createServer((request, response) => {
        const extra = due.get(request.socket);
        if (extra !== undefined && hasExtras) {
            due.delete(request.socket);
            note(`replica ${id} sends the copy where the answer to ${request.headers["attempt-id"]} is expected`);
            request.socket.write(extra);
        }
        request.resume();
        request.on("end", () => {
            const expected = request.headers["expect-replica"];
            if (expected !== undefined && expected !== id) {
                response.writeHead(421, { "replica-id": id });
                response.end();
            }
            else if (running < slots) {
                begin(request, response);
            }
            else if (queue.length < queueLength) {
                queue.push([request, response]);
            }
            else {
                turnAway(request, response);
            }
        });
    });
    server.keepAliveTimeout = 15_000;
    await new Promise(resolve => server.listen(0, host, resolve));
    const address = `${host}:${server.address().port}`;
    const born = Date.now();
    return {
        id,
        runs,
        setExtras: next => {
            hasExtras = next;
            answers = next ? 0 : answers;
        },
        counts: () => ({ answers, extras, shed }),
        entry: () => ({
            service,
            address,
            zone,
            version: "v1",
            slots,
            state: "ready",
            cold_remaining_ms: 0,
            phase: "mixed",
            models: [],
            sequence: 1,
            born,
        }),
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}
