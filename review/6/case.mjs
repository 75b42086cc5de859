// Heads of open groups are partitioned from the store and from the entry machines for 10 s; see claim.txt.
import { createWriteStream } from "node:fs";
import { request } from "node:http";
import { startGroupReplica } from "../lib-2/groupReplica.mjs";
import { startStore } from "../lib-2/store.mjs";
import { sleep, startEntries } from "../lib-2/system.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const replicaCount = 9;
const cutMs = 10_000;
const net = `127.${20 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`;
const out = createWriteStream(new URL("record.txt", import.meta.url).pathname);
const beganAtMs = performance.now();
const record = text => out.write(`${((performance.now() - beganAtMs) / 1000).toFixed(3)} ${text}\n`);

const store = await startStore(`${net}.1`, record);
const model = { name: "m-1", size: 2, warmupMs: 600, loadMs: 1_500 };
const replicas = new Map();
let violations = 0;
/** TWO: a replica takes a join of another group while the head of its group is open or closing. */
const onJoin = ({ id, before, name }) => {
    const head = replicas.get(before?.members[0]);
    const own = head?.group();
    const isOpen = own?.name === before?.name && own?.epoch === before?.epoch
        && ["open", "closing"].includes(own?.state);
    if (before !== undefined && before.name !== name && isOpen) {
        violations++;
        record(
            `BROKEN: ${id} takes the join of ${name} while ${head.id}, the head of its group ${before.name}, is ${own.state}`,
        );
    }
};
for (let index = 0; index < replicaCount; index++) {
    const id = `i-review-${index}`;
    replicas.set(
        id,
        await startGroupReplica({
            id,
            service: "lm",
            zone: "zone-a",
            domain: "domain-a",
            host: `${net}.${10 + index}`,
            model,
            slots: 12,
            formationMs: 300,
            store,
            record,
            onJoin,
        }),
    );
}
store.put("op", "config", {
    version: 3,
    routes: [{
        name: "r-chat",
        hostname: "lm.example",
        prefix: "/chat/",
        route_type: "streaming",
        timeout_ms: 6000,
        target_latency_ms: 400,
        priority: 1,
        service: "lm",
        max_attempts: 2,
        public: true,
        session_affinity: true,
        stream_resume: true,
        target_gap_ms: 300,
    }],
    services: [{
        name: "lm",
        health_path: "/healthz",
        max_connections: 574,
        protocol: "h1",
        tls: false,
        inference_engine: {
            slots: 12,
            kv_capacity_tokens: 1312941,
            stride: 5,
            models: [{
                name: model.name,
                size: model.size,
                share: 1,
                pace: 1,
                load_time_s: model.loadMs / 1000,
                warmup_s: model.warmupMs / 1000,
            }],
            step_ms: 7.8,
            per_seq_ms: 0.134,
            context_per_k: 0.0136,
            read_per_s: 45900,
            pairs_per_m: 0.433,
            chunk: 2048,
            report_lag_ms: 200,
            loads_per_s: 5,
            loads_at_once: 7,
            usual: { prompt: 979, answer: 154 },
            kept_model_count: 1,
            far_x: 2.5,
            formation_ms: 300,
        },
    }],
    limits: { max_header_bytes: 16384, max_body_bytes: 4194304, header_timeout_ms: 3000, idle_timeout_ms: 15000 },
});
const names = [1, 2, 3, 4, 5].map(number => `edge-zone-a-${number}`);
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
const openHeads = () => [...replicas.values()].filter(replica => replica.group()?.state === "open");
const groupCount = Math.floor(replicaCount / model.size);
const until = async (isDone, withinMs) => {
    const endMs = performance.now() + withinMs;
    while (!isDone() && performance.now() < endMs) {
        await sleep(100);
    }
    return isDone();
};
if (!await system.waitReady(20_000) || !await until(() => openHeads().length === groupCount, 20_000)) {
    record("the system did not become ready");
    await finish(2);
}
let ids = 0;
const tally = {};
const call = ({ listen: { frontend } }) => {
    const [host, port] = frontend.split(":");
    const id = `chat${(++ids).toString(16).padStart(8, "0")}`;
    const note = ending => {
        tally[ending] = (tally[ending] ?? 0) + 1;
        record(`${id} ends: ${ending}`);
    };
    const sent = request({
        host,
        port,
        method: "POST",
        path: `/chat/${ids}`,
        agent: false,
        headers: {
            Host: "lm.example",
            "Attempt-Id": id,
            Model: model.name,
            "Token-Usage": "200,40",
            "Prompt-Prefix": `a1:40,${id.slice(4)}:160`,
            "Deadline-Ms": "6000",
            "Content-Length": "2",
        },
    }, response => {
        response.resume();
        response.on("error", () => note("cut"));
        response.on("end", () => note(response.complete ? String(response.statusCode) : "cut"));
    });
    sent.on("error", error => note(`closed (${error.code})`));
    sent.end("{}");
};
const traffic = setInterval(() => call(system.entries[ids % system.entries.length]), 50);
await sleep(6_000);
const [cut] = openHeads();
if (hasTrouble) {
    cut.partition(true);
}
await sleep(cutMs);
if (hasTrouble) {
    cut.partition(false);
}
await sleep(5_000);
clearInterval(traffic);
await sleep(1_000);
record(`answers ${JSON.stringify(tally)}`);
record(violations > 0 ? `BROKEN: TWO ${violations}` : "held");
await finish(violations > 0 ? 1 : 0);
