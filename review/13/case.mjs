/**
 * One part of a prompt crashes each replica that begins to write an answer on it. The prompts have 20 parts, as those of a long
 * session have, and the part in question stands behind the sixteenth.
 * The rule BUDGET is judged by the replicas: at most three requests with the part reach them later than `contact_ms` after the
 * fifth crash. `PART_AT` puts the part elsewhere: with 3, the rule holds.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { configuration, formationMs, models, tenantKey } from "../lib-3/config.mjs";
import { Engine, Replica } from "../lib-3/replicas.mjs";
import { KeptRow, Store } from "../lib-3/store.mjs";
import { bounds, call, runCase, sleep, System } from "../lib-3/system.mjs";

const zones = ["zone-a", "zone-a", "zone-a", "zone-b", "zone-b", "zone-b"];
const regions = { "zone-a": "region-1", "zone-b": "region-1" };
const parts = 20;
/** Counted from 0; the last part belongs to the request itself. */
const partAt = Number(process.env.PART_AT ?? 17);
const taintedPart = "dead0001";
const downMs = 2_500;
const taintedEveryMs = 1_000;
const maxWatchMs = 70_000;

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ record, hasTrouble, onEnd }) => {
    const store = new Store();
    await store.listen("127.0.0.1");
    onEnd(() => store.close());
    const operator = new KeptRow(store, "op", "config", 200);
    operator.set(configuration());
    onEnd(() => operator.stop());
    const fleet = new Map();
    const crashes = [];
    const arrivals = [];
    const engines = Array.from({ length: 12 }, (unused, index) =>
        new Engine({
            id: `i-e${index + 1}`,
            service: "models",
            zone: index < 6 ? "zone-a" : "zone-b",
            domain: index < 6 ? "fabric-1" : "fabric-2",
            store,
            record,
            models,
            formationMs,
            fleet,
        }));
    const plain = new Replica({ id: "i-p1", service: "plain", zone: "zone-a", store, record });
    for (const replica of [...engines, plain]) {
        await replica.start("127.0.0.1");
        onEnd(() => replica.stop());
    }
    const isTainted = prefix => (prefix ?? "").split(",").some(entry => entry.startsWith(`${taintedPart}:`));
    engines.forEach(engine => {
        engine.downMs = downMs;
        engine.isEndedBy = request => {
            const ends = isTainted(request.headers["prompt-prefix"]);
            if (ends) {
                crashes.push(performance.now());
            }
            return ends;
        };
        engine.onRequest = ({ id, prefix, atMs }) => {
            if (isTainted(prefix)) {
                arrivals.push({ replica: engine.id, id, atMs });
                record("request with the part arrived", { replica: engine.id, id, crashesBefore: crashes.length });
            }
        };
    });
    const system = new System({ zones, regions, store, record });
    onEnd(() => system.stop());
    system.onLine = (entry, line) => {
        if (/quarantine|crashSuspected|groupFormed|groupGivenUp/.test(line)) {
            record("process", { name: entry.name, line });
        }
    };
    await system.start();
    record("processes are ready");
    const heads = () => engines.filter(({ group, isDown }) => !isDown && group?.rank === 0 && group.state === "open");
    for (let waited = 0; heads().length < 6; waited += 100) {
        if (waited > 20_000) {
            throw new Error("the groups did not open");
        }
        await sleep(100);
    }
    fleet.hasTraffic = true;
    const statuses = { sound: {}, tainted: {} };
    let sent = 0;
    const send = kind => {
        const entry = system.processes[sent++ % system.processes.length];
        // Sound requests and the others share their caller and their other parts.
        const shared = Array.from(
            { length: parts - 1 },
            (unused, index) => `${(0xa000 + index * 16 + Math.floor(Math.random() * 3)).toString(16)}:30`,
        );
        if (kind === "tainted") {
            shared[partAt] = `${taintedPart}:30`;
        }
        const prefix = [...shared, `${(0x100000 + sent).toString(16)}:30`].join(",");
        const headers = {
            "api-key": tenantKey,
            model: "m0",
            "token-usage": `${parts * 30},20`,
            "prompt-prefix": prefix,
        };
        void call(entry, { method: "POST", path: "/report/1", headers, body: "x" }).then(({ status }) =>
            statuses[kind][status] = (statuses[kind][status] ?? 0) + 1
        );
    };
    const traffic = setInterval(() => send("sound"), 60);
    onEnd(() => clearInterval(traffic));
    await sleep(5_000);
    record("soundRequestsBefore", statuses.sound);
    const tainted = hasTrouble ? setInterval(() => send("tainted"), taintedEveryMs) : undefined;
    onEnd(() => clearInterval(tainted));
    const late = () => arrivals.filter(({ atMs }) => crashes.length >= 5 && atMs > crashes[4] + bounds.contact_ms);
    const untilMs = performance.now() + (hasTrouble ? maxWatchMs : 20_000);
    while (performance.now() < untilMs && late().length < 12) {
        await sleep(200);
    }
    clearInterval(traffic);
    clearInterval(tainted);
    record("answers by status", statuses);
    record("crashes", { count: crashes.length });
    late().forEach(({ replica, id, atMs }) =>
        record("reached a replica too late", { replica, id, afterFifthCrashMs: Math.round(atMs - crashes[4]) })
    );
    record("requests with the part later than contact_ms after the fifth crash", { count: late().length, allowed: 3 });
    return late().length > 3;
});
