// A stand-in for a replica of a service without an engine. It can leave as some replicas do: its entry is removed without
// a word before, it serves on for `drain_ms` and a little longer, and then ends.
import { createServer } from "node:http";

export async function startPlainReplica({ id, service, zone, host, slots, workMs, store, record }) {
    const born = Date.now();
    let running = 0;
    let sequence = 0;
    let hasLeft = false;
    /** The requests that reached it, with the time. */
    const arrivals = new Map();
    const ran = new Set();
    const server = createServer((request, response) => {
        request.resume();
        request.on("end", () => {
            const requestId = request.headers["attempt-id"] ?? "";
            // A replica that leaves says so in all its answers.
            const echo = () => ({
                "attempt-id": requestId,
                "replica-load": `${running},0,${slots}`,
                ...hasLeft ? { "server-leaving": "1" } : {},
            });
            const expected = request.headers["expect-replica"];
            if (expected !== undefined && expected !== id) {
                response.writeHead(421, { ...echo(), "not-executed": "1", "replica-id": id });
                response.end();
                return;
            }
            arrivals.set(requestId, performance.now());
            if (running >= slots) {
                response.writeHead(503, { ...echo(), "not-executed": "1" });
                response.end();
                return;
            }
            running++;
            ran.add(requestId);
            record(`${id} begins ${requestId}`);
            setTimeout(() => {
                running--;
                response.writeHead(200, { ...echo(), "response-seal": `${id}.${requestId}` });
                response.end("done");
            }, workMs);
        });
    });
    server.keepAliveTimeout = 60_000;
    await new Promise(resolve => server.listen(0, host, resolve));
    const address = `${host}:${server.address().port}`;
    const beat = () =>
        hasLeft || store.put("servers", id, {
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
    const end = () => {
        clearInterval(beats);
        server.close();
        server.closeAllConnections();
    };
    return {
        id,
        arrivals,
        ran,
        /** Returns when the store removed the entry. */
        leave: endsAfterMs => {
            hasLeft = true;
            store.remove("servers", id);
            const removedAtMs = performance.now();
            record(`the entry of ${id} is removed; it serves on for ${endsAfterMs} ms`);
            setTimeout(() => {
                record(`${id} ends`);
                end();
            }, endsAfterMs);
            return removedAtMs;
        },
        close: end,
    };
}
