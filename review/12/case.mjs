/**
 * The store comes back from a copy some seconds old during a release of a plain service: the new replica has registered since
 * the copy, and the old one drains after the store has been stable again for `contact_ms`.
 * The rule DRAIN is judged by the old replica: no request reaches it later than `drain_ms` after the store has acknowledged
 * that it is draining.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { configuration, tenantKey } from "../lib-3/config.mjs";
import { Replica } from "../lib-3/replicas.mjs";
import { KeptRow, Store } from "../lib-3/store.mjs";
import { bounds, call, runCase, sleep, System } from "../lib-3/system.mjs";

const zones = [...Array(7).fill("zone-a"), ...Array(4).fill("zone-b")];
const regions = { "zone-a": "region-1", "zone-b": "region-1" };
const copyAgeMs = 8_000;
const awayMs = 1_000;
/** Each process gets a request this often: the sheet's `serial-lookup` comes 3.44 times a second at 15 machines. */
const requestEveryMs = 3_000;

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ record, hasTrouble, onEnd }) => {
    const store = new Store();
    await store.listen("127.0.0.1");
    onEnd(() => store.close());
    const operator = new KeptRow(store, "op", "config", 200);
    operator.set({ ...configuration(), services: configuration().services.slice(0, 1), routes: configuration().routes.slice(0, 2) });
    onEnd(() => operator.stop());
    const startReplica = async (id, zone) => {
        const replica = new Replica({ id, service: "plain", zone, store, record, slots: 6 });
        await replica.start("127.0.0.1");
        onEnd(() => replica.stop());
        record("replica registered", { replica: id, version: store.version });
        return replica;
    };
    const replicas = [
        await startReplica("i-p1", "zone-a"),
        await startReplica("i-p2", "zone-b"),
        await startReplica("i-p3", "zone-b"),
    ];
    const system = new System({ zones, regions, store, record });
    onEnd(() => system.stop());
    system.onLine = (entry, line) => {
        if (/historyLost|upstreamsChanged|stateSource|leaseTaken/.test(line)) {
            record("process", { name: entry.name, line });
        }
    };
    await system.start();
    record("processes are ready");
    const statuses = {};
    let sent = 0;
    const traffic = setInterval(() => {
        const entry = system.processes[sent++ % system.processes.length];
        const id = `a${sent.toString(16)}`;
        const sentAtMs = performance.now();
        void call(entry, { path: "/lookup/1", headers: { "api-key": tenantKey }, id }).then(({ status, body }) => {
            statuses[status] = (statuses[status] ?? 0) + 1;
            record("answer", { process: entry.name, id, status, body, tookMs: Math.round(performance.now() - sentAtMs) });
        });
    }, requestEveryMs / zones.length);
    onEnd(() => clearInterval(traffic));
    const copies = [];
    const copying = setInterval(() => copies.push(store.takeCopy()), 250);
    onEnd(() => clearInterval(copying));
    await sleep(14_000);
    // A release, one replica at a time: the new one starts first.
    replicas.push(await startReplica("i-p4", "zone-a"));
    await sleep(1_000);
    if (hasTrouble) {
        const copy = copies.findLast(({ atMs }) => atMs < performance.now() - copyAgeMs);
        record("the store goes away", { version: store.version, copyVersion: copy.version });
        store.goAway();
        await sleep(awayMs);
        store.comeBack(copy);
        record("the store is back from the copy", { era: store.era, version: store.version });
    }
    // From `contact_ms` after the end of the disruption on, the store is stable and the machines are in touch.
    await sleep(bounds.contact_ms + 200);
    const leaving = replicas[0];
    const version = leaving.drain(bounds.drain_ms);
    if (!(version > 0)) {
        throw new Error("the store did not acknowledge that the replica is draining");
    }
    await sleep(bounds.drain_ms + 9_000);
    clearInterval(traffic);
    const late = leaving.requests.filter(({ atMs }) => atMs > leaving.drainedAtMs + bounds.drain_ms);
    late.forEach(({ id, atMs }) => record("DRAIN BROKEN", { id, afterMs: Math.round(atMs - leaving.drainedAtMs) }));
    record("answers by status", statuses);
    record("requests that reached the draining replica too late", { count: late.length, of: leaving.requests.length });
    return late.length > 0;
});
