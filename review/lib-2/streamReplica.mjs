// A stand-in for a replica of a service without an engine. It streams events, or sends a long body in parts, and its answers
// have neither a length nor chunks: they end with their connection, as the pages allow.
import { createServer } from "node:http";

export async function startStreamReplica(
    { id, service, zone, host, slots, events, everyMs, bodyBytes, store, record },
) {
    const born = Date.now();
    let running = 0;
    let sequence = 0;
    /** By Attempt-Id: what was sent as the whole answer, and whether it was sent to its end. */
    const sent = new Map();
    const server = createServer((request, response) => {
        request.resume();
        request.on("end", () => {
            const requestId = request.headers["attempt-id"] ?? "";
            const echo = { "attempt-id": requestId, "replica-load": `${running},0,${slots}` };
            const expected = request.headers["expect-replica"];
            if (expected !== undefined && expected !== id) {
                response.writeHead(421, { ...echo, "not-executed": "1", "replica-id": id });
                response.end();
                return;
            }
            const isStream = request.url.startsWith("/stream/");
            response.useChunkedEncodingByDefault = false;
            response.shouldKeepAlive = false;
            response.writeHead(200, {
                ...echo,
                "response-seal": `${id}.${requestId}`,
                "content-type": isStream ? "text/event-stream" : "application/octet-stream",
            });
            record(`${id} runs ${requestId}`);
            running++;
            const answer = { parts: events, sentParts: 0, isSent: false };
            sent.set(requestId, answer);
            const part = Buffer.alloc(Math.ceil(bodyBytes / events), 66);
            const timer = setInterval(() => {
                answer.sentParts++;
                response.write(isStream ? `id: ${answer.sentParts}\ndata: piece ${answer.sentParts}\n\n` : part);
                if (answer.sentParts === events) {
                    clearInterval(timer);
                    answer.isSent = true;
                    response.end();
                }
            }, everyMs);
            response.on("close", () => {
                clearInterval(timer);
                running--;
                record(
                    `${id} ${
                        answer.isSent ? "has sent the whole answer to" : "finds the connection closed of"
                    } ${requestId} after ${answer.sentParts} of ${events} parts`,
                );
            });
        });
    });
    await new Promise(resolve => server.listen(0, host, resolve));
    const address = `${host}:${server.address().port}`;
    const beat = () =>
        store.put("servers", id, {
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
        });
    beat();
    const beats = setInterval(beat, 1_200);
    return {
        id,
        sent,
        close: () => {
            clearInterval(beats);
            server.close();
            server.closeAllConnections();
        },
    };
}
