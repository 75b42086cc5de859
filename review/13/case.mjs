/**
 * The operator evacuates a zone, takes that back, and a second later the store comes back from a copy some seconds old. Once the
 * store has been stable again for `contact_ms`, the operator evacuates the zone a second time.
 * The rule EVAC is judged by the replicas of the zone: no request reaches them later than `evacuate_ms` after the second
 * evacuation has been acknowledged. Then the zone is switched off, which cuts what it still has.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { configuration, tenantKey } from "../lib-3/config.mjs";
import { Replica } from "../lib-3/replicas.mjs";
import { KeptRow, Store } from "../lib-3/store.mjs";
import { bounds, call, runCase, sleep, System } from "../lib-3/system.mjs";

const zones = [...Array(4).fill("zone-a"), ...Array(4).fill("zone-b")];
const regions = { "zone-a": "region-1", "zone-b": "region-1" };
const evacuateMs = 5_000;
const copyAgeMs = 8_000;
const awayMs = 1_000;
const workMs = 300;
/** The zone is switched off this long after the evacuation has been acknowledged. */
const offAfterMs = 10_000;

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ record, hasTrouble, onEnd }) => {
    const store = new Store();
    await store.listen("127.0.0.1");
    onEnd(() => store.close());
    const operator = new KeptRow(store, "op", "config", 200);
    operator.set({
        ...configuration(),
        services: configuration().services.slice(0, 1),
        routes: configuration().routes.slice(0, 2),
    });
    onEnd(() => operator.stop());
    const replicas = [["i-p1", "zone-a"], ["i-p2", "zone-a"], ["i-p3", "zone-b"], ["i-p4", "zone-b"]]
        .map(([id, zone]) => new Replica({ id, service: "plain", zone, store, record, workMs }));
    for (const replica of replicas) {
        await replica.start("127.0.0.1");
        onEnd(() => replica.stop());
    }
    const system = new System({ zones, regions, store, record, extraBounds: { evacuate_ms: evacuateMs } });
    onEnd(() => system.stop());
    system.onLine = (entry, line) => {
        if (/evacuation|historyLost|leaseTaken/.test(line)) {
            record("process", { name: entry.name, line });
        }
    };
    await system.start();
    record("processes are ready");
    const statuses = {};
    let sent = 0;
    const traffic = setInterval(() => {
        const entry = system.processes[sent++ % system.processes.length];
        const headers = { "api-key": tenantKey };
        void call(entry, { method: "POST", path: "/booking/1", headers, body: "book" }).then(({ id, status, body }) => {
            statuses[status] = (statuses[status] ?? 0) + 1;
            record("answer", { process: entry.name, id, status, body });
        });
    }, 40);
    onEnd(() => clearInterval(traffic));
    const copies = [];
    const copying = setInterval(() => copies.push(store.takeCopy()), 250);
    onEnd(() => clearInterval(copying));
    const evacuation = new KeptRow(store, "op", "evacuate/zone-a", 200);
    onEnd(() => evacuation.stop());
    await sleep(4_000);
    record("zone-a is evacuated", { version: evacuation.set({}) });
    await sleep(9_000);
    record("the evacuation is taken back", { version: evacuation.drop() });
    await sleep(1_000);
    if (hasTrouble) {
        const copy = copies.findLast(({ atMs }) => atMs < performance.now() - copyAgeMs);
        record("the store goes away", { version: store.version, copyVersion: copy.version });
        store.goAway();
        await sleep(awayMs);
        store.comeBack(copy);
        record("the store is back from the copy", { era: store.era, version: store.version });
    }
    await sleep(bounds.contact_ms + 200);
    const version = evacuation.set({});
    if (!(version > 0)) {
        throw new Error("the store did not acknowledge the evacuation");
    }
    const evacuatedAtMs = performance.now();
    record("zone-a is evacuated again", { version });
    await sleep(offAfterMs);
    // What the zone was evacuated for.
    replicas.filter(({ zone }) => zone === "zone-a").forEach(replica => {
        record("replica is switched off", { replica: replica.id, unfinished: replica.active });
        replica.crash();
    });
    await sleep(5_000);
    clearInterval(traffic);
    const late = replicas.filter(({ zone }) => zone === "zone-a").flatMap(({ id: replica, requests }) =>
        requests.filter(({ atMs }) => atMs > evacuatedAtMs + evacuateMs).map(({ id, atMs }) => ({ replica, id, atMs }))
    );
    late.forEach(({ replica, id, atMs }) =>
        record("EVAC BROKEN", { replica, id, afterMs: Math.round(atMs - evacuatedAtMs) })
    );
    record("answers by status; 502 is a booking that was accepted and lost", statuses);
    record("requests that reached the evacuated zone too late", { count: late.length });
    return late.length > 0;
});
