/**
 * The store is away for a moment and comes back from a copy some seconds old. What was due meanwhile is written as it comes back:
 * a configuration that takes a key away and adds a route, and replicas that have started, a quarter of those that there were.
 * The rule CONFIG is judged by clients and replicas: long after the configuration has been acknowledged, no request runs with the
 * key, and the new route is not refused.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { configuration, tenantKey } from "../lib-3/config.mjs";
import { Replica } from "../lib-3/replicas.mjs";
import { KeptRow, Store } from "../lib-3/store.mjs";
import { bounds, call, runCase, sleep, System } from "../lib-3/system.mjs";

const zones = [...Array(4).fill("zone-a"), ...Array(3).fill("zone-b")];
const regions = { "zone-a": "region-1", "zone-b": "region-1" };
const removedKey = "removed-key-000000000";
const copyAgeMs = 2_000;
const awayMs = 2_000;
const retryMs = 200;
const replicaCount = 56;
/** `scale_out` has a share of 0.25 on the site. */
const addedCount = 14;

const versionOf = (version, { keys, routes }) => {
    const { services: [plain], routes: [lookup, booking], tenants, ...rest } = configuration(version);
    const all = [lookup, booking, { ...lookup, name: "fresh", prefix: "/fresh/" }];
    return {
        ...rest,
        services: [plain],
        routes: all.filter(({ name }) => routes.includes(name)),
        tenants: [...tenants, { name: "other", api_keys: keys }],
    };
};

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ record, hasTrouble, onEnd }) => {
    const store = new Store();
    await store.listen("127.0.0.1");
    onEnd(() => store.close());
    const operator = new KeptRow(store, "op", "config", 200);
    operator.set(versionOf(2, { keys: [removedKey], routes: ["lookup", "booking"] }));
    onEnd(() => operator.stop());
    const makeReplica = (id, zone) => new Replica({ id, service: "plain", zone, store, record });
    const startReplica = async replica => {
        await replica.start("127.0.0.1");
        onEnd(() => replica.stop());
    };
    const zoneOf = index => index % 2 === 0 ? "zone-a" : "zone-b";
    const replicas = Array.from({ length: replicaCount }, (unused, index) => makeReplica(`i-p${index}`, zoneOf(index)));
    for (const replica of replicas) {
        await startReplica(replica);
    }
    const system = new System({ zones, regions, store, record });
    onEnd(() => system.stop());
    system.onLine = (entry, line) => {
        if (/historyLost|configurationInForce|leaseTaken|storeRegained/.test(line)) {
            record("process", { name: entry.name, line });
        }
    };
    await system.start();
    record("processes are ready");
    const copies = [];
    const copying = setInterval(() => copies.push(store.takeCopy()), 250);
    onEnd(() => clearInterval(copying));
    await sleep(10_000);
    const next = versionOf(3, { keys: [], routes: ["lookup", "booking", "fresh"] });
    // Planned work: replicas are added, and the configuration changes.
    const added = Array.from({ length: addedCount }, (unused, index) => makeReplica(`i-n${index}`, zoneOf(index)));
    if (hasTrouble) {
        const copy = copies.findLast(({ atMs }) => atMs < performance.now() - copyAgeMs);
        record("the store goes away", { version: store.version, copyVersion: copy.version });
        store.goAway();
        operator.set(next);
        for (const replica of added) {
            await startReplica(replica);
        }
        await sleep(awayMs);
        store.comeBack(copy);
    }
    else {
        operator.set(next);
        for (const replica of added) {
            await startReplica(replica);
        }
    }
    operator.write();
    // Replicas try again five times a second, each in its own time.
    added.forEach(replica => setTimeout(() => replica.register(), Math.random() * retryMs));
    const acknowledgedAtMs = performance.now();
    record("version 3 of the configuration is acknowledged", {
        era: store.era,
        configVersion: store.row("op", "config").schema_version,
        version: store.version,
    });
    // Beyond every bound: the store is stable again, and `outer_bound_ms` has passed as well.
    await sleep(bounds.config_apply_ms + bounds.outer_bound_ms + bounds.contact_ms);
    const sinceMs = performance.now();
    const outcomes = {};
    const note = (what, status) => {
        const key = `${what}: ${status}`;
        outcomes[key] = (outcomes[key] ?? 0) + 1;
    };
    const isRun = id => [...replicas, ...added].some(({ requests }) => requests.some(other => other.id === id));
    let broken = 0;
    for (let round = 0; round < 5; round++) {
        for (const entry of system.processes) {
            const afterMs = Math.round(performance.now() - acknowledgedAtMs);
            const old = await call(entry, {
                method: "POST",
                path: "/booking/1",
                headers: { "api-key": removedKey },
                body: "b",
            });
            note("booking with the key that was taken away", old.status);
            if (isRun(old.id)) {
                broken++;
                record("CONFIG BROKEN: run with a dropped key", { process: entry.name, id: old.id, afterMs });
            }
            const fresh = await call(entry, { path: "/fresh/1", headers: { "api-key": tenantKey } });
            note("lookup on the new route", fresh.status);
            if (fresh.status === 404) {
                broken++;
                record("CONFIG BROKEN: refused though the route is there", {
                    process: entry.name,
                    id: fresh.id,
                    afterMs,
                });
            }
        }
        await sleep(1_000);
    }
    record("outcomes", { ...outcomes, seconds: Math.round((performance.now() - sinceMs) / 1_000) });
    return broken > 0;
});
