// A stand-in for a replica of a model: reports, orders (join, open, close, leave, phase) and streams, as the pages say. While
// `partition` says so, it is cut off from the store and from its callers: its entry lapses after three heartbeats, and what
// it is sent waits.
import { createServer } from "node:http";

export const heartbeatMs = 1_200;

export async function startGroupReplica(
    { id, service, zone, domain, host, model, slots, formationMs, store, record, onJoin },
) {
    const born = Date.now();
    const { name: modelName, warmupMs, loadMs } = model;
    let group;
    let seenEpoch = 0;
    let lastModel;
    let staged = [];
    let orders = 0;
    let beats = 0;
    let isCut = false;
    let missed = 0;
    const sockets = new Set();
    const held = [];
    const entry = () => ({
        service,
        address,
        zone,
        version: "v1",
        slots,
        state: "ready",
        cold_remaining_ms: 0,
        phase: "mixed",
        models: group === undefined ? [] : [{ name: group.model, version: 1, adapters: [] }],
        sequence: beats,
        born,
        failure_domain: domain,
        staged,
        ...group === undefined
            ? {}
            : { group: { name: group.name, epoch: group.epoch, rank: group.rank, state: group.state } },
    });
    const report = () => {
        if (!isCut) {
            store.put("servers", id, entry());
        }
    };
    const setState = state => {
        group = { ...group, state };
        record(`${id} is ${state} in ${group.name} (epoch ${group.epoch}, rank ${group.rank})`);
        report();
    };
    const isStill = given => group === given || (group?.name === given.name && group.epoch === given.epoch);
    const matches = ({ group: name, epoch }) => group?.name === name && group.epoch === epoch;
    const operations = {
        join: ({ group: name, epoch, model: wanted, members }) => {
            if (epoch < seenEpoch || (matches({ group: name, epoch }) && group.members.join() !== members.join())) {
                return 412;
            }
            if (matches({ group: name, epoch })) {
                return 200;
            }
            onJoin({ id, before: group, name, epoch });
            seenEpoch = epoch;
            orders++;
            const takesMs = lastModel === wanted ? 200 : staged.includes(wanted) ? warmupMs : loadMs;
            const joined = { name, epoch, rank: members.indexOf(id), model: wanted, members, state: "joining" };
            group = joined;
            record(`${id} takes the join of ${name} (epoch ${epoch}), members ${members}`);
            report();
            setTimeout(() => {
                if (isStill(joined) && group.state === "joining") {
                    lastModel = wanted;
                    staged = [wanted];
                    setState("ready");
                }
            }, takesMs);
            return 202;
        },
        open: order => {
            if (!matches(order) || group.rank !== 0 || !["ready", "open"].includes(group.state)) {
                return 409;
            }
            if (group.state === "open") {
                return 200;
            }
            orders++;
            const opened = group;
            setTimeout(() => isStill(opened) && group.state === "ready" && setState("open"), formationMs);
            return 202;
        },
        close: order => {
            if (!matches(order) || group.rank !== 0) {
                return 409;
            }
            if (group.state === "open") {
                orders++;
                setState("ready");
                return 202;
            }
            return 200;
        },
        leave: order => {
            if (!matches(order)) {
                return 409;
            }
            orders++;
            record(`${id} leaves ${group.name}`);
            group = undefined;
            report();
            return 200;
        },
        phase: ({ model: wanted }) => {
            if (staged.includes(wanted)) {
                return 200;
            }
            orders++;
            setTimeout(() => {
                staged = [wanted];
                report();
            }, loadMs);
            return 202;
        },
    };
    const answerJson = (response, status, body) => {
        response.writeHead(status, { "content-type": "application/json", "replica-id": id });
        response.end(JSON.stringify(body));
    };
    const serve = (request, response, body) => {
        const expected = request.headers["expect-replica"];
        if (expected !== undefined && expected !== id) {
            response.writeHead(421, { "replica-id": id, "not-executed": "1" });
            response.end();
            return;
        }
        if (request.url === "/rattanquay/report") {
            answerJson(response, 200, {
                ...entry(),
                busy: false,
                sequence: orders,
                queued: 0,
                active: 0,
                pace: 1,
                kv_used: 0,
                kv_total: 1,
            });
            return;
        }
        if (request.url === "/rattanquay/order") {
            const order = JSON.parse(body);
            answerJson(response, operations[order.operation]?.(order) ?? 400, {});
            return;
        }
        const echo = { "attempt-id": request.headers["attempt-id"] ?? "" };
        if (group?.state !== "open" || group.rank !== 0) {
            response.writeHead(421, { ...echo, "replica-id": id, "not-executed": "1" });
            response.end();
            return;
        }
        record(`${id} runs ${request.headers["attempt-id"]} in ${group.name}`);
        response.writeHead(200, { ...echo, "response-seal": `${id}.seal`, "content-type": "text/event-stream" });
        let next = Number(request.headers["last-event-id"] ?? 0);
        const timer = setInterval(() => {
            response.write(`id: ${++next}\ndata: piece ${next}\n\n`);
            if (next >= 8) {
                clearInterval(timer);
                response.end();
            }
        }, 60);
        response.on("close", () => clearInterval(timer));
    };
    const server = createServer((request, response) => {
        const chunks = [];
        request.on("data", chunk => chunks.push(chunk));
        request.on("end", () => {
            const run = () => response.destroyed || serve(request, response, Buffer.concat(chunks).toString());
            isCut ? held.push(run) : run();
        });
    });
    server.keepAliveTimeout = 60_000;
    server.on("connection", socket => {
        sockets.add(socket);
        socket.on("close", () => sockets.delete(socket));
        if (isCut) {
            socket.pause();
        }
    });
    await new Promise(resolve => server.listen(0, host, resolve));
    const address = `${host}:${server.address().port}`;
    const beat = setInterval(() => {
        if (isCut) {
            missed++;
            if (missed === 3) {
                store.remove("servers", id);
                record(`the store removes the entry of ${id} after three missed heartbeats`);
            }
            return;
        }
        beats++;
        report();
    }, heartbeatMs);
    report();
    return {
        id,
        group: () => group,
        partition: next => {
            isCut = next;
            missed = 0;
            record(`${id} is ${next ? "cut off" : "connected again"}`);
            if (!next) {
                report();
                held.splice(0).forEach(run => run());
            }
            sockets.forEach(socket => next ? socket.pause() : socket.resume());
        },
        close: () => {
            clearInterval(beat);
            server.close();
            server.closeAllConnections();
        },
    };
}
