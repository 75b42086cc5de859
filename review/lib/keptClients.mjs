/**
 * Clients that send lookups and orders over kept connections, beside three replicas of a plain service, and what they
 * lose. It counts requests that were passed on from a kept connection to a sound replica and whose connection was closed
 * without an answer, for each process.
 */
import { Agent } from "node:http";
import { plainConfig } from "./case.mjs";
import { startReplica } from "./replica.mjs";
import { startStore } from "./store.mjs";
import { send, sleep, startSystem, waitUntilReady } from "./system.mjs";

const workMs = 60;
const clientsPerProcess = 16;
/** More of such requests than this break LOST. */
const allowedLost = 3;

/**
 * `extraServices` are added to the configuration; `prepare` starts what else the case needs; `disturb` plays the
 * disruption and ends when it is over; `isSound` tells which replicas are sound all the while.
 */
export const playKeptClients = ({ extraServices = [], prepare, disturb, isSound }) => async ({ note, atEnd }) => {
    const store = await startStore();
    atEnd(store.close);
    const replicas = [];
    for (const [index, zone] of ["zone-a", "zone-b", "zone-c"].entries()) {
        const replica = await startReplica({ id: `i-${index + 1}`, service: "register", zone, workMs, note });
        replicas.push(replica);
        store.put("servers", replica.id, replica.entry());
        atEnd(replica.close);
    }
    store.put("op", "config", plainConfig(7, { extraServices }));
    await prepare?.({ store, note, atEnd });
    const system = await startSystem({ store, places: ["zone-a", "zone-b"], note });
    atEnd(system.stop);
    await waitUntilReady(system, note);

    let isOver = false;
    const results = [];
    const client = async node => {
        const agent = new Agent({ keepAlive: true, maxSockets: 1 });
        for (let count = 0; !isOver; count++) {
            const isOrder = count % 3 === 2;
            const result = await send(node, {
                path: isOrder ? "/order/1" : "/lookup/1",
                method: isOrder ? "POST" : "GET",
                agent,
            });
            results.push({ ...result, isOrder });
            note(
                `client of ${node.name}: ${result.attempt} ${isOrder ? "order" : "lookup"} -> `
                    + `${result.status === 0 ? "closed without an answer" : result.status}, `
                    + `${result.isKept ? "kept" : "new"} connection, ${result.hasGivenUp ? "given up, " : ""}`
                    + `${result.body.length} bytes, ${result.isWhole ? "whole" : "not whole"}, ${result.ms} ms`,
            );
            if (result.status === 0) {
                await sleep(100);
            }
        }
        agent.destroy();
    };
    const clients = system.nodes.flatMap(node => Array.from({ length: clientsPerProcess }, () => client(node)));
    await sleep(4_000);
    await disturb({ replicas, store, note });
    await sleep(3_000);
    isOver = true;
    await Promise.all(clients);

    return system.nodes.flatMap(node => {
        const own = node.ends.filter(({ isOwn }) => isOwn);
        const lost = results.filter(({ node: name, status, isKept, hasGivenUp, attempt }) =>
            name === node.name && status === 0 && isKept && !hasGivenUp
            && replicas.filter(isSound).some(({ runs }) => runs.some(run => run.attempt === attempt))
        );
        const orders = lost.filter(({ isOrder }) => isOrder).length;
        note(
            `${node.name} ended by itself ${own.length} times; `
                + `kept requests at sound replicas that were lost: ${lost.length}, ${orders} of them orders`,
        );
        own.forEach(({ code, lastWords }) =>
            note(`${node.name} ended with code ${code}; its last words: ${lastWords}`)
        );
        return lost.length > allowedLost
            ? [`LOST: ${node.name} ended by itself and closed ${lost.length} kept connections without an answer`]
            : [];
    });
};
