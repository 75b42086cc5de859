/**
 * The store comes back from a copy some seconds old during a release of a plain service: a new replica has registered since
 * the copy, and the old ones of its zone drain after the store has been stable again for `contact_ms`.
 * The rule DRAIN is judged by the old replicas: no request reaches one later than `drain_ms` after the store has acknowledged
 * that it is draining. What was sent to one too late is cut when it ends.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { configuration, tenantKey } from "../lib-3/config.mjs";
import { Replica } from "../lib-3/replicas.mjs";
import { KeptRow, Store } from "../lib-3/store.mjs";
import { bounds, call, runCase, sleep, System } from "../lib-3/system.mjs";

const zones = [...Array(12).fill("zone-a"), ...Array(2).fill("zone-b")];
const regions = { "zone-a": "region-1", "zone-b": "region-1" };
const copyAgeMs = 8_000;
const awayMs = 1_000;
/** Each process gets a booking this often. */
const requestEveryMs = 3_000;
const workMs = 1_200;
/** The leaving replicas go on for this long after `drain_ms`: work that was sent in time is done by then. */
const lingerMs = 3_500;

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
    const startReplica = async (id, zone) => {
        const replica = new Replica({ id, service: "plain", zone, store, record, slots: 6, workMs });
        await replica.start("127.0.0.1");
        onEnd(() => replica.stop());
        record("replica registered", { replica: id, version: store.version });
        return replica;
    };
    const replicas = [
        await startReplica("i-p1", "zone-a"),
        await startReplica("i-p2", "zone-a"),
        await startReplica("i-p3", "zone-b"),
        await startReplica("i-p4", "zone-b"),
        await startReplica("i-p5", "zone-b"),
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
        const headers = { "api-key": tenantKey };
        void call(entry, { method: "POST", path: "/booking/1", headers, body: "book", id }).then(({ status, body }) => {
            statuses[status] = (statuses[status] ?? 0) + 1;
            record("answer", {
                process: entry.name,
                id,
                status,
                body,
                tookMs: Math.round(performance.now() - sentAtMs),
            });
        });
    }, requestEveryMs / zones.length);
    onEnd(() => clearInterval(traffic));
    const copies = [];
    const copying = setInterval(() => copies.push(store.takeCopy()), 250);
    onEnd(() => clearInterval(copying));
    await sleep(14_000);
    // A release of two of five replicas, 1 s apart: the new ones start first.
    replicas.push(await startReplica("i-p6", "zone-a"));
    await sleep(1_000);
    replicas.push(await startReplica("i-p7", "zone-a"));
    await sleep(500);
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
    // Planned work goes on: the two old replicas of the zone drain.
    const leaving = replicas.slice(0, 2);
    for (const replica of leaving) {
        await sleep(replica === leaving[0] ? 0 : 1_000);
        if (!(replica.drain(bounds.drain_ms, lingerMs) > 0)) {
            throw new Error("the store did not acknowledge that a replica is draining");
        }
    }
    await sleep(bounds.drain_ms + lingerMs + 3_000);
    clearInterval(traffic);
    const late = leaving.flatMap(({ id: replica, drainedAtMs, requests }) =>
        requests.filter(({ atMs }) => atMs > drainedAtMs + bounds.drain_ms)
            .map(({ id, atMs }) => ({ replica, id, afterMs: Math.round(atMs - drainedAtMs) }))
    );
    late.forEach(request => record("DRAIN BROKEN", request));
    record("answers by status; 502 is a booking that was accepted and lost", statuses);
    record("requests that reached a draining replica too late", { count: late.length });
    return late.length > 0;
});
