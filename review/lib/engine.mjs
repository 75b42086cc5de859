/**
 * A stand-in for a replica of a model: it reports itself, and carries out the orders of PROTOCOL.md that form groups. No
 * case sends it requests.
 */
import { createServer } from "node:http";

const host = "127.0.0.1";
const reportPath = "/rattanquay/report";
const orderPath = "/rattanquay/order";

/** An engine service as `fleetbench wire` shows it, with one small model. */
export const engineService = service => ({
    name: service,
    health_path: "/healthz",
    max_connections: 574,
    protocol: "h1",
    tls: false,
    inference_engine: {
        slots: 12,
        kv_capacity_tokens: 1312941,
        kv_token_bytes: 136362,
        link_mbps: 400000,
        stride: 5,
        models: [{ name: "m2", size: 2, share: 1, pace: 0.6, load_time_s: 12, warmup_s: 1.1 }],
        step_ms: 7.8,
        per_seq_ms: 0.134,
        context_per_k: 0.0136,
        read_per_s: 45900,
        pairs_per_m: 0.433,
        chunk: 2048,
        report_lag_ms: 200,
        loads_per_s: 5,
        loads_at_once: 7,
        delays: [],
        usual: { prompt: 979, answer: 154 },
        kept_model_count: 1,
        far_x: 2.5,
        formation_ms: 300,
    },
});

/** Loads before the first request take a tenth of the time. */
const loadMs = 1_200;
const warmupMs = 1_100;
const formationMs = 300;

export async function startEngine({ id, service, zone, store, note }) {
    const born = Date.now();
    let sequence = 0;
    let group;
    let staged = [];
    const models = () => group === undefined ? [] : [{ name: group.model, version: 1, adapters: [] }];
    const shown = () =>
        group === undefined ? null : { name: group.name, epoch: group.epoch, rank: group.rank, state: group.state };
    const register = () =>
        store.put("servers", id, {
            service,
            address,
            zone,
            version: "v1",
            slots: 12,
            state: "ready",
            cold_remaining_ms: 0,
            phase: "mixed",
            models: models(),
            sequence,
            born,
            failure_domain: `domain-${zone}`,
            staged,
            group: shown(),
        });
    const change = next => {
        group = next;
        register();
    };
    const isOwn = ({ group: name, epoch }) => group !== undefined && group.name === name && group.epoch === epoch;
    const orders = {
        join: order => {
            if (group !== undefined && order.epoch < group.epoch) {
                return 412;
            }
            const { group: name, epoch, model, members } = order;
            if (isOwn(order)) {
                return members.join() === group.members.join() ? 200 : 412;
            }
            change({ members, name, epoch, model, rank: members.indexOf(id), state: "joining" });
            setTimeout(() => {
                staged = [model];
                if (isOwn(order) && group.state === "joining") {
                    change({ ...group, state: "ready" });
                }
            }, staged.includes(model) ? warmupMs : loadMs + warmupMs);
            return 202;
        },
        open: order => {
            if (!isOwn(order) || group.rank !== 0 || group.state === "joining") {
                return 409;
            }
            if (group.state === "open") {
                return 200;
            }
            setTimeout(
                () => isOwn(order) && group.state === "ready" && change({ ...group, state: "open" }),
                formationMs,
            );
            return 202;
        },
        close: order => {
            if (!isOwn(order)) {
                return 409;
            }
            change({ ...group, state: "ready" });
            return 202;
        },
        leave: order => {
            if (isOwn(order)) {
                change(undefined);
                return 202;
            }
            return 200;
        },
        phase: ({ model }) => {
            if (staged.includes(model)) {
                return 200;
            }
            setTimeout(() => {
                staged = [model];
                register();
            }, loadMs);
            return 202;
        },
    };
    const server = createServer((request, response) => {
        const chunks = [];
        request.on("data", chunk => chunks.push(chunk));
        request.on("end", () => {
            const reply = (status, body) => {
                const text = body === undefined ? "" : JSON.stringify(body);
                response.writeHead(status, { "content-type": "application/json", "content-length": text.length });
                response.end(text);
            };
            if (![undefined, id].includes(request.headers["expect-replica"])) {
                reply(421);
            }
            else if (request.url === reportPath) {
                const counts = { queued: 0, active: 0, kv_used: 0, kv_total: 90000, kv_handles: 0, pace: 1 };
                reply(200, {
                    phase: "mixed",
                    models: models(),
                    busy: false,
                    sequence,
                    born,
                    group: shown(),
                    staged,
                    ...counts,
                });
            }
            else if (request.url === orderPath) {
                const order = JSON.parse(Buffer.concat(chunks).toString());
                const status = orders[order.operation]?.(order) ?? 400;
                sequence += status === 202 ? 1 : 0;
                note(`replica ${id} answers order ${order.operation} ${order.group ?? ""} with ${status}`);
                reply(status);
            }
            else {
                reply(503, {});
            }
        });
    });
    server.keepAliveTimeout = 15_000;
    await new Promise(resolve => server.listen(0, host, resolve));
    const address = `${host}:${server.address().port}`;
    register();
    return {
        id,
        group: shown,
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}
