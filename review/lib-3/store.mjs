/**
 * A stand-in for the platform's store, as PROTOCOL.md and the news of the pages describe it: versioned rows, a feed of
 * changes, conditional transactions, a steady clock, and the drill in which it comes back from a copy.
 */
import { createServer } from "node:http";

const transactionMs = 4;
const heartbeatMs = 1_200;
const heartbeatsUntilExpiry = 3;

export class Store {
    rows = new Map();
    version = 1;
    era = 1;
    isAway = false;
    sockets = new Set();
    waiting = new Set();
    /** What the operator and the replicas have written, which they write again after a drill. */
    writers = [];
    startedAtMs = performance.now();
    onAcknowledged = () => undefined;

    servers = [];

    async listen(host) {
        this.address = await this.listenFor(host, undefined);
    }

    /** Opens one more address, whose connections belong to `owner`. */
    async listenFor(host, owner) {
        const server = createServer((request, response) => this.serve(request, response));
        this.servers.push(server);
        server.on("connection", socket => {
            if (this.isAway) {
                socket.destroy();
                return;
            }
            socket.owner = owner;
            this.sockets.add(socket);
            socket.on("close", () => this.sockets.delete(socket));
            socket.on("error", () => undefined);
        });
        server.keepAliveTimeout = 60_000;
        await new Promise(resolve => server.listen(0, host, resolve));
        return `${host}:${server.address().port}`;
    }

    close() {
        this.servers.forEach(server => server.close());
        this.sockets.forEach(socket => socket.destroy());
    }

    /** The connections on which `owner` waits for changes of a table. */
    feedSockets(owner, table) {
        return [...this.waiting].filter(poll => poll.owner === owner && poll.table === table).map(poll => poll.socket);
    }

    /** Called for each feed that begins to wait. */
    onFeed = () => undefined;

    /** Applies one transaction and returns its version. */
    commit(upserts, removed) {
        this.version++;
        for (const { table, part = "", key, value } of upserts) {
            this.rows.set(`${table}\n${part}\n${key}`, { table, part, key, value, schema_version: this.version });
        }
        for (const { table, part = "", key } of removed) {
            this.rows.set(`${table}\n${part}\n${key}`, {
                table,
                part,
                key,
                value: "",
                schema_version: this.version,
                deleted: true,
            });
        }
        [...this.waiting].forEach(poll => poll());
        return this.version;
    }

    row(table, key) {
        const row = this.rows.get(`${table}\n\n${key}`);
        return row === undefined || row.deleted ? undefined : row;
    }

    valueOf(table, key) {
        const row = this.row(table, key);
        return row === undefined ? undefined : JSON.parse(Buffer.from(row.value, "base64").toString());
    }

    /** A write by the operator or a replica; the returned version is the acknowledgement. Undefined while the store is away. */
    put(table, key, value) {
        return this.isAway
            ? undefined
            : this.commit([{ table, key, value: Buffer.from(JSON.stringify(value)).toString("base64") }], []);
    }

    remove(table, key) {
        return this.isAway ? undefined : this.commit([], [{ table, key }]);
    }

    takeCopy() {
        return { rows: new Map(this.rows), version: this.version, atMs: performance.now() };
    }

    goAway() {
        this.isAway = true;
        this.waiting.clear();
        this.sockets.forEach(socket => socket.resetAndDestroy());
    }

    /** Comes back from a copy: versions go back and are given out again. */
    comeBack(copy) {
        this.rows = new Map(copy.rows);
        this.version = copy.version;
        this.era++;
        this.isAway = false;
    }

    stamp() {
        return { schema_version: this.version, now_ms: Math.round(performance.now() - this.startedAtMs) + 100_000 };
    }

    answer(response, status, body) {
        if (this.isAway || response.destroyed || response.socket?.isSilent) {
            return;
        }
        response.writeHead(status, { "content-type": "application/json", "store-era": String(this.era) });
        response.end(JSON.stringify(body));
    }

    async serve(request, response) {
        const url = new URL(request.url, "http://store");
        const chunks = [];
        for await (const chunk of request) {
            chunks.push(chunk);
        }
        await new Promise(resolve => setTimeout(resolve, transactionMs));
        if (this.isAway || request.socket.isSilent) {
            return;
        }
        const query = url.searchParams;
        if (url.pathname === "/rattanquay/rows-get") {
            this.get(query, response);
        }
        else if (url.pathname === "/rattanquay/rows-feed") {
            this.feed(query, response);
        }
        else if (url.pathname === "/rattanquay/rows-tx") {
            this.transact(JSON.parse(Buffer.concat(chunks).toString()), response);
        }
        else {
            this.answer(response, 404, {});
        }
    }

    get(query, response) {
        const from = query.get("from_revision") ?? "";
        const limit = Math.min(500, Number(query.get("limit") ?? 500));
        const found = [...this.rows.values()]
            .filter(row => row.table === query.get("table") && row.part === (query.get("part") ?? "") && !row.deleted)
            .filter(({ key }) => key >= from)
            .sort((a, b) => Buffer.compare(Buffer.from(a.key), Buffer.from(b.key)));
        this.answer(response, 200, {
            ...this.stamp(),
            rows: found.slice(0, limit),
            has_more: found.length > limit,
        });
    }

    feed(query, response) {
        const after = Number(query.get("after"));
        let timeout;
        const end = () => {
            this.waiting.delete(poll);
            clearTimeout(timeout);
        };
        const poll = isLast => {
            if (after > this.version) {
                end();
                this.answer(response, 410, this.stamp());
                return;
            }
            const changed = [...this.rows.values()]
                .filter(row => row.table === query.get("table") && row.schema_version > after)
                .sort((a, b) => a.schema_version - b.schema_version);
            if (changed.length > 0 || isLast === true) {
                end();
                this.answer(response, 200, { ...this.stamp(), rows: changed, has_more: false });
            }
        };
        Object.assign(poll, { owner: response.socket.owner, table: query.get("table"), socket: response.socket });
        this.waiting.add(poll);
        timeout = setTimeout(() => poll(true), Math.min(30_000, Number(query.get("wait_ms") ?? 0)));
        response.on("close", end);
        poll();
        if (this.waiting.has(poll)) {
            this.onFeed(poll);
        }
    }

    transact({ expected_revision = [], upserts = [], remove = [] }, response) {
        const versionOf = ({ table, part = "", key }) => {
            const row = this.rows.get(`${table}\n${part}\n${key}`);
            return row === undefined || row.deleted ? 0 : row.schema_version;
        };
        if ([...upserts, ...remove].some(({ table }) => table === "op" || table === "servers")) {
            this.answer(response, 403, {});
            return;
        }
        if (expected_revision.some(row => versionOf(row) !== row.schema_version)) {
            this.answer(response, 412, { ...this.stamp(), rows: [] });
            return;
        }
        this.commit(upserts, remove);
        this.answer(response, 200, this.stamp());
    }
}

/**
 * One row that its writer keeps: written at once when it changes, and at each heartbeat if the store holds something else, as
 * after a drill or an outage. A heartbeat by itself changes no row.
 */
export class KeptRow {
    constructor(store, table, key, everyMs = heartbeatMs) {
        Object.assign(this, { store, table, key, value: undefined, isPresent: false });
        this.interval = setInterval(() => this.write(), everyMs);
    }

    set(value) {
        this.value = value;
        this.isPresent = true;
        return this.write();
    }

    drop() {
        this.isPresent = false;
        return this.write();
    }

    /** Returns the version of the write, 0 if the store holds the value already, undefined if it is away. */
    write() {
        const { store, table, key, value, isPresent } = this;
        if (store.isAway) {
            return undefined;
        }
        const held = store.valueOf(table, key);
        if (isPresent) {
            return JSON.stringify(held) === JSON.stringify(value) ? 0 : store.put(table, key, value);
        }
        return held === undefined ? 0 : store.remove(table, key);
    }

    /** The writer has ended: after three heartbeats the entry lapses, and it is not written again. */
    lapse() {
        this.stop();
        setTimeout(() => {
            this.isPresent = false;
            this.write();
            this.interval = setInterval(() => this.write(), heartbeatMs);
        }, heartbeatsUntilExpiry * heartbeatMs);
    }

    stop() {
        clearInterval(this.interval);
    }
}
