/**
 * The open connections between the processes and the store go silent for good, while new ones work. A replica reports
 * that it is draining shortly after that, serves on, and ends.
 */
import { Agent } from "node:http";
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { hasTrouble, plainConfig, runCase } from "../lib/case.mjs";
import { startReplica } from "../lib/replica.mjs";
import { startStore } from "../lib/store.mjs";
import { isReady, send, sleep, startSystem, waitUntil } from "../lib/system.mjs";

const clientsPerProcess = 6;
const drainMs = 2_000;
const contactMs = 3_000;
/** From the store's acceptance of the report to the replica's end: `drain_ms` and a little longer. */
const servesOnMs = 3_000;
/** Left beside both bounds, for what the clocks of this process may be late. */
const marginMs = 50;

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ note, atEnd }) => {
    const store = await startStore();
    atEnd(store.close);
    const replicas = [];
    const add = async (id, zone) => {
        const replica = await startReplica({ id, service: "register", zone, workMs: 60, note });
        const { push } = replica.runs;
        replica.runs.push = run => push.call(replica.runs, { ...run, at: performance.now() });
        replicas.push(replica);
        store.put("servers", replica.id, replica.entry());
        atEnd(replica.close);
        return replica;
    };
    for (const [index, zone] of ["zone-a", "zone-b", "zone-c"].entries()) {
        await add(`i-${index + 1}`, zone);
    }
    store.put("op", "config", plainConfig(7));
    const system = await startSystem({ store, places: ["zone-a", "zone-b"], note });
    atEnd(system.stop);
    await waitUntil(async () => (await Promise.all(system.nodes.map(isReady))).every(Boolean), 15_000, "readiness");
    note("all processes are ready");

    let isOver = false;
    const results = [];
    const client = async (node, index) => {
        const agent = new Agent({ keepAlive: true, maxSockets: 1 });
        await sleep(index * 20);
        for (let count = 0; !isOver; count++) {
            const isOrder = count % 2 === 1;
            const sentAt = performance.now();
            const result = await send(node, {
                path: isOrder ? "/order/1" : "/lookup/1",
                method: isOrder ? "POST" : "GET",
                agent,
            });
            results.push({ ...result, sentAt, isOrder });
            note(`client of ${node.name}: ${result.attempt} ${isOrder ? "order" : "lookup"} -> ${result.status}, ${result.ms} ms`);
            await sleep(40);
        }
        agent.destroy();
    };
    const clients = system.nodes.flatMap(node =>
        Array.from({ length: clientsPerProcess }, (unused, index) => client(node, index))
    );
    // Longer than the processes need to find each other and to leave their start behind.
    await sleep(8_000);
    const addedAt = performance.now();
    await add("i-4", "zone-c");
    note("replica i-4 is added");
    const isWaiting = ({ access }) => (access.feeds.servers ?? 0) > addedAt;
    await waitUntil(async () => system.nodes.every(isWaiting), 5_000, "that all processes wait for changes again");
    const silentAt = performance.now();
    if (hasTrouble) {
        system.nodes.forEach(({ storeProxy }) => storeProxy.silence());
        note("the open connections between the processes and the store are silent from now on");
    }
    await sleep(300);
    const [leaving] = replicas;
    store.put("servers", leaving.id, leaving.entry({ state: "draining" }));
    const acknowledgedAt = performance.now();
    note(`the store has accepted that replica ${leaving.id} is draining`);
    await sleep(servesOnMs);
    store.remove("servers", leaving.id);
    leaving.close();
    note(`replica ${leaving.id} has ended`);
    await sleep(2_000);
    isOver = true;
    await Promise.all(clients);

    const inTouchFrom = silentAt + contactMs + marginMs;
    const dueAt = acknowledgedAt + drainMs + marginMs;
    const bySending = new Map(results.map(result => [result.attempt, result]));
    const late = leaving.runs.filter(({ attempt, at }) =>
        at > dueAt && (bySending.get(attempt)?.sentAt ?? 0) > inTouchFrom
    );
    const cut = late.filter(({ attempt }) => bySending.get(attempt).isOrder && bySending.get(attempt).status !== 200);
    note(`${late.length} requests reached ${leaving.id} too late; ${cut.length} of them orders without a success`);
    return late.map(({ attempt, at }) =>
        `DRAIN: ${attempt} reached ${leaving.id} ${Math.round(at - acknowledgedAt)} ms after the acknowledgement, `
            + `${Math.round(at - silentAt)} ms after the connections went silent; answered ${bySending.get(attempt).status}`
    );
});
