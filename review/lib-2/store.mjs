// A stand-in for the platform's store: versioned rows, pages, a change feed and conditional transactions.
import { createServer } from "node:http";

export async function startStore(host, record) {
    const rows = new Map();
    const historyMs = 20_000;
    const removed = [];
    const startedAtMs = performance.now();
    let revision = 1;
    const idOf = ({ table, part = "", key }) => `${table}\n${part}\n${key}`;
    const stamp = () => ({ schema_version: revision, now_ms: Math.round(performance.now() - startedAtMs) });
    const waiting = new Set();
    const changed = () => [...waiting].forEach(poll => poll());
    const write = (upserts, removals) => {
        revision++;
        for (const { table, part = "", key, value } of upserts) {
            rows.set(idOf({ table, part, key }), { table, part, key, value, schema_version: revision });
        }
        for (const { table, part = "", key } of removals) {
            if (rows.delete(idOf({ table, part, key }))) {
                removed.push({ table, part, key, schema_version: revision, deleted: true, atMs: performance.now() });
            }
        }
        while (removed.length > 0 && performance.now() - removed[0].atMs > historyMs) {
            removed.shift();
        }
        changed();
    };
    const answer = (response, status, body) => {
        response.writeHead(status, { "content-type": "application/json" });
        response.end(JSON.stringify(body));
    };
    const handlers = {
        "/rattanquay/rows-get": (query, response) => {
            const [table, part, from, to] = ["table", "part", "from_revision", "target"].map(name =>
                query.get(name) ?? ""
            );
            const limit = Math.min(500, Number(query.get("limit") ?? 500));
            const found = [...rows.values()]
                .filter(row =>
                    row.table === table && row.part === part && row.key >= from && (to === "" || row.key < to)
                )
                .sort((a, b) => Buffer.compare(Buffer.from(a.key), Buffer.from(b.key)));
            answer(response, 200, { ...stamp(), rows: found.slice(0, limit), has_more: found.length > limit });
        },
        "/rattanquay/rows-feed": (query, response) => {
            const table = query.get("table");
            const after = Number(query.get("after"));
            const endMs = performance.now() + Math.min(30_000, Number(query.get("wait_ms") ?? 0));
            const poll = () => {
                const news = [...rows.values(), ...removed.map(({ atMs, ...row }) => row)]
                    .filter(row => row.table === table && row.schema_version > after)
                    .sort((a, b) => a.schema_version - b.schema_version);
                if (news.length === 0 && performance.now() < endMs) {
                    return;
                }
                waiting.delete(poll);
                clearTimeout(timeout);
                answer(response, 200, { ...stamp(), rows: news });
            };
            const timeout = setTimeout(poll, Math.max(0, endMs - performance.now()) + 1);
            waiting.add(poll);
            response.on("close", () => {
                waiting.delete(poll);
                clearTimeout(timeout);
            });
            poll();
        },
        "/rattanquay/rows-tx": (query, response, body) => {
            const { expected_revision = [], upserts = [], remove = [] } = JSON.parse(body);
            if ([...upserts, ...remove].some(({ table }) => table === "op" || table === "servers")) {
                answer(response, 403, stamp());
                return;
            }
            const isUnmet = expected_revision.some(row =>
                (rows.get(idOf(row))?.schema_version ?? 0) !== row.schema_version
            );
            if (isUnmet) {
                answer(response, 412, {
                    ...stamp(),
                    rows: expected_revision.flatMap(row => rows.get(idOf(row)) ?? []),
                });
                return;
            }
            write(upserts, remove);
            setTimeout(() => answer(response, 200, stamp()), 5);
        },
    };
    const server = createServer((request, response) => {
        const url = new URL(request.url, "http://store");
        const chunks = [];
        request.on("data", chunk => chunks.push(chunk));
        request.on("end", () => {
            const handle = handlers[url.pathname];
            if (handle === undefined) {
                answer(response, 404, {});
                return;
            }
            setTimeout(() => handle(url.searchParams, response, Buffer.concat(chunks).toString()), 2);
        });
    });
    server.keepAliveTimeout = 60_000;
    await new Promise(resolve => server.listen(0, host, resolve));
    const encode = value => Buffer.from(JSON.stringify(value)).toString("base64");
    /** The entry of a replica changes when more than `sequence` does. */
    const entries = new Map();
    const isSameEntry = (key, { sequence, ...entry }) => {
        const text = JSON.stringify(entry);
        const isSame = entries.get(key) === text;
        entries.set(key, text);
        return isSame;
    };
    return {
        address: `${host}:${server.address().port}`,
        put: (table, key, value) => {
            if (table !== "servers" || !isSameEntry(key, value)) {
                write([{ table, key, value: encode(value) }], []);
            }
        },
        remove: (table, key) => {
            entries.delete(key);
            write([], [{ table, key }]);
        },
        rows: table =>
            [...rows.values()].filter(row => row.table === table).map(({ key, value }) => ({
                key,
                value: JSON.parse(Buffer.from(value, "base64").toString()),
            })),
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}
