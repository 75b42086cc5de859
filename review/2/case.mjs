/** One replica in trouble spoils 2 in 100 of its answers: the head is right, and the body goes on without end. */
import { Agent } from "node:http";
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { hasTrouble, plainConfig, runCase } from "../lib/case.mjs";
import { headersOf, soundAnswer, soundBody, startReplica } from "../lib/replica.mjs";
import { startStore } from "../lib/store.mjs";
import { isReady, send, sleep, startSystem, waitUntil } from "../lib/system.mjs";

const workMs = 60;
const clientsPerProcess = 8;
const troubleMs = 5_500;
/** One answer in so many is spoiled: 2 in 100. */
const spoiledEvery = 50;
const blockBytes = 32_768;
const blockEveryMs = 4;

/** A right head, then bytes that are no answer until the caller closes: 8 MB a second, an eighth of a link. */
function endlessAnswer(request, response) {
    response.writeHead(200, headersOf(request));
    response.write(soundBody(request));
    let isBlocked = false;
    const timer = setInterval(() => {
        if (!isBlocked) {
            isBlocked = !response.write("A".repeat(blockBytes));
        }
    }, blockEveryMs);
    response.on("drain", () => {
        isBlocked = false;
    });
    response.on("close", () => clearInterval(timer));
}

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ note, atEnd }) => {
    const store = await startStore();
    atEnd(store.close);
    const replicas = [];
    for (const [index, zone] of ["zone-a", "zone-b", "zone-c"].entries()) {
        const replica = await startReplica({ id: `i-${index + 1}`, service: "register", zone, workMs, note });
        replicas.push(replica);
        store.put("servers", replica.id, replica.entry());
        atEnd(replica.close);
    }
    store.put("op", "config", plainConfig(7));
    const system = await startSystem({ store, places: ["zone-a", "zone-b"], note });
    atEnd(system.stop);
    await waitUntil(async () => (await Promise.all(system.nodes.map(isReady))).every(Boolean), 15_000, "readiness");
    note("all processes are ready");

    let isOver = false;
    const results = [];
    const client = async node => {
        const agent = new Agent({ keepAlive: true, maxSockets: 1 });
        for (let count = 0; !isOver; count++) {
            const isOrder = count % 3 === 2;
            const isKept = count > 0;
            const result = await send(node, {
                path: isOrder ? "/order/1" : "/lookup/1",
                method: isOrder ? "POST" : "GET",
                agent,
            });
            results.push({ ...result, isKept });
            note(
                `client of ${node.name}: ${result.attempt} ${isOrder ? "order" : "lookup"} -> `
                    + `${result.status === 0 ? "connection closed without an answer" : result.status}, `
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
    let answers = 0;
    let spoiled = 0;
    if (hasTrouble) {
        note(`replica ${replicas[0].id} begins to spoil its answers`);
        const sound = soundAnswer(workMs);
        replicas[0].answer = (request, response) => {
            answers++;
            if (answers % spoiledEvery === 0) {
                spoiled++;
                note(`replica ${replicas[0].id} spoils its answer to ${request.headers["attempt-id"]}`);
                endlessAnswer(request, response);
                return;
            }
            sound(request, response);
        };
    }
    await sleep(troubleMs);
    replicas[0].answer = soundAnswer(workMs);
    note(`the trouble is over: ${spoiled} of ${answers} answers of one of three replicas were spoiled`);
    await sleep(3_000);
    isOver = true;
    await Promise.all(clients);

    const broken = [];
    for (const node of system.nodes) {
        const own = node.ends.filter(({ isOwn }) => isOwn);
        // Passed on from a kept connection to a sound replica, and closed without an answer.
        const lost = results.filter(({ node: name, status, isKept, attempt }) =>
            name === node.name && status === 0 && isKept
            && replicas.slice(1).some(({ runs }) => runs.some(run => run.attempt === attempt))
        );
        note(`${node.name}: ended by itself ${own.length} times; ${lost.length} kept requests at sound replicas lost`);
        if (lost.length > 3) {
            broken.push(`LOST: ${node.name} closed ${lost.length} kept connections without an answer`);
        }
        if (own.length > 0) {
            const fatal = node.fatal ?? "";
            broken.push(`${node.name} ended by itself ${own.length} times, codes ${own.map(({ code }) => code)} ${fatal}`);
        }
    }
    return broken;
});
