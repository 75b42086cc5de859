/**
 * A process gets SIGTERM. Clients that opened their connections just before the balancer took the process out send their
 * first request some seconds later, and get a stream.
 */
import { request as httpRequest } from "node:http";
import { connect } from "node:net";
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { hasTrouble, plainConfig, runCase } from "../lib/case.mjs";
import { headersOf, startReplica } from "../lib/replica.mjs";
import { startStore } from "../lib/store.mjs";
import { sleep, startSystem, waitUntilReady } from "../lib/system.mjs";

const clients = 8;
/** The balancer asks once a second and takes a process out after two misses: until 1 s after SIGTERM it is surely in. */
const openedAfterMs = 900;
/** Less than `header_timeout_ms` (3,000) and `idle_timeout_ms` (15,000) after the connection was opened. */
const sentAfterMs = 3_700;
const events = 87;
const pauseMs = 50;
const graceMs = 8_000;

const draftRoute = {
    name: "r-draft",
    hostname: "calls.example",
    prefix: "/draft/",
    route_type: "streaming",
    timeout_ms: 8_000,
    target_latency_ms: 400,
    target_gap_ms: 300,
    priority: 1,
    service: "register",
    max_attempts: 2,
    public: false,
    session_affinity: true,
    stream_resume: true,
};

function streamAnswer(request, response) {
    response.writeHead(200, { ...headersOf(request), "content-type": "text/event-stream" });
    let id = 0;
    const timer = setInterval(() => {
        id++;
        response.write(`id: ${id}\ndata: ${"x".repeat(60)}\n\n`);
        if (id === events) {
            clearInterval(timer);
            response.end();
        }
    }, pauseMs);
    response.on("close", () => clearInterval(timer));
}

/** Sends a streaming request on a connection that is open already. */
function sendDraft(socket, attempt) {
    return new Promise(resolve => {
        let text = "";
        const done = ending => {
            clearTimeout(timer);
            resolve({ ending, status: Number(text.split(" ")[1] ?? 0), events: text.split("\n\n").length - 1 });
        };
        const timer = setTimeout(() => done("no end in time"), 9_000);
        const request = httpRequest({
            createConnection: () => socket,
            method: "POST",
            path: "/draft/1",
            headers: {
                "host": "calls.example",
                "attempt-id": attempt,
                "deadline-ms": "8000",
                "content-length": "2",
            },
        });
        request.on("error", error => done(`connection ended: ${error.code ?? error.message}`));
        request.on("response", response => {
            text = `HTTP ${response.statusCode} `;
            response.on("data", chunk => text += chunk);
            response.on("end", () => done(response.complete ? "whole" : "broken off"));
            response.on("error", error => done(`connection ended: ${error.code ?? error.message}`));
        });
        request.end("{}");
    });
}

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ note, atEnd }) => {
    const store = await startStore();
    atEnd(store.close);
    const replicas = [];
    for (const [index, zone] of ["zone-a", "zone-b"].entries()) {
        const replica = await startReplica({ id: `i-${index + 1}`, service: "register", zone, note });
        replica.answer = streamAnswer;
        replicas.push(replica);
        store.put("servers", replica.id, replica.entry());
        atEnd(replica.close);
    }
    store.put("op", "config", plainConfig(7, { extraRoutes: [draftRoute] }));
    const system = await startSystem({ store, places: ["zone-a", "zone-b"], note });
    atEnd(system.stop);
    await waitUntilReady(system, note);
    await sleep(3_000);

    const [node] = system.nodes;
    node.restarts = false;
    const startedAt = performance.now();
    const sinceStart = () => Math.round(performance.now() - startedAt);
    if (hasTrouble) {
        system.signal(node, "SIGTERM");
    }
    await sleep(openedAfterMs);
    const sockets = await Promise.all(Array.from({ length: clients }, () =>
        new Promise((resolve, reject) => {
            const socket = connect(node.ports.frontend, node.ip, () => resolve(socket));
            socket.on("error", error => reject(error));
        })));
    sockets.forEach(socket => {
        socket.removeAllListeners("error");
        socket.on("error", () => undefined);
    });
    note(`${clients} connections are open, ${sinceStart()} ms after SIGTERM`);
    await sleep(startedAt + sentAfterMs - performance.now());
    note(`their clients send, ${sinceStart()} ms after SIGTERM`);
    const results = await Promise.all(sockets.map(async (socket, index) => {
        const attempt = `draft${index}`;
        const result = await sendDraft(socket, attempt);
        const hasRun = replicas.some(({ runs }) => runs.some(run => run.attempt === attempt));
        const endedAt = sinceStart();
        note(
            `${attempt}: ${
                hasRun ? "passed on" : "not passed on"
            }, status ${result.status}, ${result.events} of ${events} events, ${result.ending}, ${endedAt} ms after SIGTERM`,
        );
        return { ...result, attempt, hasRun, endedAt };
    }));
    if (results.some(({ status, ending }) => status === 0 && ending === "no end in time")) {
        note("a client got nothing at all");
    }
    return results
        .filter(({ hasRun, ending, endedAt }) => hasRun && ending !== "whole" && endedAt < graceMs + 1_000)
        .map(({ attempt, events: got, endedAt }) =>
            `LOST: ${attempt} was sent ${sentAfterMs} ms after SIGTERM, passed on, and cut after ${got} of ${events} events, ${endedAt} ms after SIGTERM`
        );
});
