/**
 * A stand-in for the platform's metadata store, as PROTOCOL.md tells it: rows with revisions from one counter,
 * conditional transactions, a change feed with long polls, and a steady clock. It listens on one port for each process
 * of the system, so that the path of a single process can be cut or slowed down.
 */
import { createServer } from "node:http";

const host = "127.0.0.1";

export async function startStore() {
    const rows = new Map();
    let revision = 1;
    const startedAt = performance.now();
    const waiting = new Set();
    const servers = [];
    const idOf = (table, key) => `${table}\n${key}`;
    const nowMs = () => Math.round(performance.now() - startedAt);
    const stamp = () => ({ schema_version: revision, now_ms: nowMs() });
    const live = table => [...rows.values()].filter(row => row.table === table && !row.deleted);
    const wake = () => [...waiting].forEach(poll => poll());
    const set = (table, key, value) =>
        rows.set(idOf(table, key), { table, part: "", key, value, schema_version: revision });
    const drop = (table, key) =>
        rows.set(idOf(table, key), { table, part: "", key, value: "", schema_version: revision, deleted: true });
    const revisionOf = (table, key) => {
        const row = rows.get(idOf(table, key));
        return row === undefined || row.deleted ? 0 : row.schema_version;
    };
    const reply = (response, status, body) => {
        if (response.destroyed) {
            return;
        }
        const text = JSON.stringify(body);
        response.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
        response.end(text);
    };
    const get = (query, response) => {
        const from = query.get("from_revision") ?? "";
        const target = query.get("target");
        const limit = Number(query.get("limit") ?? 500);
        const found = live(query.get("table"))
            .filter(({ key }) => key >= from && (target === null || key < target))
            .sort((a, b) => (a.key < b.key ? -1 : 1));
        reply(response, 200, { rows: found.slice(0, limit), has_more: found.length > limit, ...stamp() });
    };
    const feed = (query, response) => {
        const table = query.get("table");
        const after = Number(query.get("after"));
        const poll = isOver => {
            const changed = [...rows.values()]
                .filter(row => row.table === table && row.schema_version > after)
                .sort((a, b) => a.schema_version - b.schema_version);
            if (changed.length > 0 || isOver === true || response.destroyed) {
                waiting.delete(poll);
                clearTimeout(timer);
                reply(response, 200, { rows: changed, ...stamp() });
            }
        };
        const timer = setTimeout(() => poll(true), Number(query.get("wait_ms") ?? 0));
        waiting.add(poll);
        poll();
    };
    const transact = (text, response) => {
        const { expected_revision = [], upserts = [], remove = [] } = JSON.parse(text);
        if ([...upserts, ...remove].some(({ table }) => table === "op" || table === "servers")) {
            reply(response, 403, stamp());
            return;
        }
        const failing = expected_revision.filter(row => revisionOf(row.table, row.key) !== row.schema_version);
        if (failing.length > 0) {
            const current = failing.flatMap(({ table, key }) => rows.get(idOf(table, key)) ?? []);
            reply(response, 412, { rows: current, ...stamp() });
            return;
        }
        revision++;
        upserts.forEach(({ table, key, value }) => set(table, key, value));
        remove.forEach(({ table, key }) => drop(table, key));
        reply(response, 200, stamp());
        wake();
    };
    const serve = (access, request, response) => {
        const url = new URL(request.url, "http://store");
        const chunks = [];
        request.on("data", chunk => chunks.push(chunk));
        request.on("end", () => {
            const act = () => {
                if (access.mode === "silent") {
                    return;
                }
                if (access.mode === "busy") {
                    reply(response, 503, {});
                    return;
                }
                if (url.pathname === "/rattanquay/rows-get") {
                    get(url.searchParams, response);
                }
                else if (url.pathname === "/rattanquay/rows-feed") {
                    access.feeds[url.searchParams.get("table")] = performance.now();
                    feed(url.searchParams, response);
                }
                else if (url.pathname === "/rattanquay/rows-tx") {
                    transact(Buffer.concat(chunks).toString(), response);
                }
                else {
                    reply(response, 404, {});
                }
            };
            setTimeout(act, access.delayMs);
        });
    };
    return {
        /**
         * Opens a path for one process of the system; `access.mode` is serves, busy or silent, and `access.feeds` says
         * when the process last began to wait for changes of each table.
         */
        open: async () => {
            const access = { mode: "serves", delayMs: 4, feeds: {} };
            const server = createServer((request, response) => serve(access, request, response));
            await new Promise(resolve => server.listen(0, host, resolve));
            servers.push(server);
            return { access, address: `${host}:${server.address().port}` };
        },
        put: (table, key, value) => {
            revision++;
            set(table, key, Buffer.from(JSON.stringify(value)).toString("base64"));
            wake();
        },
        remove: (table, key) => {
            revision++;
            drop(table, key);
            wake();
        },
        rows: table =>
            live(table).map(({ key, value }) => ({ key, value: JSON.parse(Buffer.from(value, "base64").toString()) })),
        nowMs,
        close: () =>
            servers.forEach(server => {
                server.close();
                server.closeAllConnections();
            }),
    };
}
