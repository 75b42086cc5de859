// Entry processes are killed while replicas answer with neither a length nor chunks; see claim.txt.
import { createWriteStream } from "node:fs";
import { request } from "node:http";
import { startStore } from "../lib-2/store.mjs";
import { startStreamReplica } from "../lib-2/streamReplica.mjs";
import { sleep, startEntries } from "../lib-2/system.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const entryCount = 7;
/** One of seven processes: a share of 0.14. */
const killed = 1;
const net = `127.${20 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`;
const out = createWriteStream(new URL("record.txt", import.meta.url).pathname);
const beganAtMs = performance.now();
const record = text => out.write(`${((performance.now() - beganAtMs) / 1000).toFixed(3)} ${text}\n`);

const store = await startStore(`${net}.1`, record);
const events = 35;
const replicas = [];
for (const index of [0, 1, 2]) {
    replicas.push(
        await startStreamReplica({
            id: `i-review-${index}`,
            service: "app",
            zone: "zone-a",
            host: `${net}.${10 + index}`,
            slots: 24,
            events,
            everyMs: 60,
            bodyBytes: 1_400_000,
            store,
            record,
        }),
    );
}
store.put("op", "config", {
    version: 3,
    routes: [
        {
            name: "r-stream",
            hostname: "app.example",
            prefix: "/stream/",
            route_type: "streaming",
            timeout_ms: 6000,
            target_latency_ms: 300,
            priority: 1,
            service: "app",
            max_attempts: 2,
            public: true,
            stream_resume: true,
            target_gap_ms: 200,
        },
        {
            name: "r-order",
            hostname: "app.example",
            prefix: "/order/",
            route_type: "non_idempotent",
            timeout_ms: 4000,
            target_latency_ms: 3000,
            priority: 1,
            service: "app",
            max_attempts: 1,
            public: true,
        },
    ],
    services: [{ name: "app", health_path: "/healthz", max_connections: 574, protocol: "h1", tls: false }],
    limits: { max_header_bytes: 16384, max_body_bytes: 4194304, header_timeout_ms: 3000, idle_timeout_ms: 15000 },
});
const names = Array.from({ length: entryCount }, (unused, index) => `edge-zone-a-${index + 1}`);
const system = await startEntries(names, {
    storeAddress: store.address,
    zoneOf: () => "zone-a",
    hostOf: index => `${net}.${100 + index}`,
});
const finish = async code => {
    await system.stop();
    replicas.forEach(replica => replica.close());
    store.close();
    await new Promise(resolve => out.end(resolve));
    process.exit(code);
};
if (!await system.waitReady(40_000)) {
    record("the system did not become ready");
    await finish(2);
}
let ids = 0;
const tally = {};
let broken = 0;
/** What an HTTP/1.1 client takes for a whole answer: without a length or chunks, one whose connection was closed, not reset. */
const call = ({ listen: { frontend } }, kind) =>
    new Promise(resolve => {
        const [host, port] = frontend.split(":");
        const id = `${kind}${(++ids).toString(16).padStart(8, "0")}`;
        const end = (ending, status, seal, text) => {
            const answer = replicas.map(replica => replica.sent.get(id)).find(found => found !== undefined);
            const got = kind === "stream" ? (text.match(/^id: /gm) ?? []).length : text.length;
            const all = kind === "stream" ? events : events * Math.ceil(1_400_000 / events);
            const isInsideEvent = kind === "stream" && text !== "" && !text.endsWith("\n\n");
            const looksWhole = ending === "ended" && status === 200 && seal !== undefined && !isInsideEvent;
            const isWrong = looksWhole && got < all;
            broken += isWrong ? 1 : 0;
            const key = `${kind}: ${status ?? ""} ${
                isWrong ? "looks whole and is not" : looksWhole ? "whole" : ending
            }`;
            tally[key] = (tally[key] ?? 0) + 1;
            record(`${id} ${key}: ${got} of ${all}; the replica had sent ${answer?.sentParts} of ${events} parts`);
            resolve();
        };
        const sent = request({
            host,
            port,
            method: "POST",
            path: `/${kind}/${ids}`,
            agent: false,
            headers: {
                Host: "app.example",
                "Attempt-Id": id,
                "Deadline-Ms": kind === "stream" ? "6000" : "4000",
                "Content-Length": "2",
            },
        }, response => {
            let text = "";
            response.setEncoding("latin1");
            response.on("data", chunk => text += chunk);
            response.on(
                "error",
                error => end(`cut (${error.code})`, response.statusCode, response.headers["response-seal"], text),
            );
            response.on(
                "end",
                () => response.complete && end("ended", response.statusCode, response.headers["response-seal"], text),
            );
        });
        sent.on("error", error => end(`closed (${error.code})`, undefined, undefined, ""));
        sent.end("{}");
    });
const calls = [];
for (let round = 0; round < 60; round++) {
    const entry = system.entries[round % entryCount];
    calls.push(call(entry, round % 3 === 0 ? "order" : "stream"));
    await sleep(20);
}
if (hasTrouble) {
    system.entries.slice(0, killed).forEach(({ name, child }) => {
        record(`SIGKILL to ${name}`);
        child.kill("SIGKILL");
    });
}
await Promise.all(calls);
record(`answers ${JSON.stringify(tally)}`);
record(broken > 0 ? `BROKEN: MIXED ${broken}` : "held");
await finish(broken > 0 ? 1 : 0);
