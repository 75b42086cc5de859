// Entry processes are killed while replicas answer with neither a length nor chunks; see claim.txt.
import { createWriteStream } from "node:fs";
import { callOnce } from "../lib-2/rawCaller.mjs";
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
const bodyBytes = 1_400_000;
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
            bodyBytes,
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
const bytesOf = { stream: events, order: events * Math.ceil(bodyBytes / events) };
/** What a client of HTTP/1.1 takes for whole: without a length or chunks, an answer whose connection was closed, not reset. */
const call = async ({ listen: { frontend } }, kind) => {
    const id = `${kind}${(++ids).toString(16).padStart(8, "0")}`;
    const { ending, status, headers, body } = await callOnce(frontend, {
        method: "POST",
        path: `/${kind}/${ids}`,
        headers: { Host: "app.example", "Attempt-Id": id, "Deadline-Ms": kind === "stream" ? "6000" : "4000" },
        body: "{}",
    });
    const text = body.toString("latin1");
    const got = kind === "stream" ? (text.match(/^id: /gm) ?? []).length : body.length;
    const isInsideEvent = kind === "stream" && text !== "" && !text.endsWith("\n\n");
    const hasMarkedEnd = headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;
    const isSuccess = status === 200 && headers["response-seal"] !== undefined;
    const looksWhole = isSuccess && ending === "closed" && !hasMarkedEnd && !isInsideEvent;
    const isWrong = looksWhole && got < bytesOf[kind];
    broken += isWrong ? 1 : 0;
    const key = `${kind}: ${status ?? "no answer"}, ${ending}${
        isWrong ? ", looks whole and is not" : looksWhole ? ", whole" : ""
    }`;
    tally[key] = (tally[key] ?? 0) + 1;
    const answer = replicas.map(replica => replica.sent.get(id)).find(found => found !== undefined);
    record(`${id} ${key}: ${got} of ${bytesOf[kind]}; the replica had sent ${answer?.sentParts} of ${events} parts`);
};
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
