/** Stand-ins for replicas: plain ones, and engines that form groups. They follow PROTOCOL.md. */
import { createServer } from "node:http";
import { KeptRow } from "./store.mjs";

/** Three intervals of `heartbeat_ms`. */
const silenceMs = 3_600;
/** How much longer than `drain_ms` a leaving replica goes on. */
const defaultLingerMs = 10_000;

/** Records what happens, for `record.txt`, and what breaks a rule. */
export class Replica {
    state = "ready";
    born = Date.now();
    requests = [];
    sockets = new Set();
    active = 0;
    coldForMs = 0;

    constructor({ id, service, zone, store, record, slots = 12, workMs = 20 }) {
        Object.assign(this, { id, service, zone, store, record, slots, workMs });
        this.row = new KeptRow(store, "servers", id);
    }

    async start(host) {
        this.server = createServer((request, response) => this.serve(request, response));
        this.server.keepAliveTimeout = 30_000;
        this.server.on("connection", socket => {
            this.sockets.add(socket);
            socket.on("error", () => undefined);
            socket.on("close", () => this.sockets.delete(socket));
        });
        await new Promise(resolve => this.server.listen(0, host, resolve));
        this.address = `${host}:${this.server.address().port}`;
        this.register();
    }

    entry() {
        return {
            service: this.service,
            address: this.address,
            zone: this.zone,
            version: "v1",
            slots: this.slots,
            state: this.state,
            cold_remaining_ms: this.coldForMs,
            sequence: 1,
            born: this.born,
        };
    }

    register() {
        return this.row.set(this.entry());
    }

    /** Reports that it is draining, and ends `drain_ms` and some seconds later. Returns the acknowledged version. */
    drain(drainMs, lingerMs = defaultLingerMs) {
        this.state = "draining";
        const version = this.register();
        this.drainedAtMs = performance.now();
        this.record("draining acknowledged", { replica: this.id, version });
        setTimeout(() => {
            this.row.drop();
            this.record("replica has ended", { replica: this.id, unfinished: this.active });
            this.stop();
        }, drainMs + lingerMs);
        return version;
    }

    stop() {
        this.server.close();
        this.sockets.forEach(socket => socket.destroy());
        this.row.stop();
    }

    /** Falls silent for good. */
    crash() {
        this.isDark = true;
        this.server.close();
        this.sockets.forEach(socket => socket.resetAndDestroy());
        this.row.lapse();
        this.record("replica crashed", { replica: this.id });
    }

    /** Ends by a fault of its own, and starts again under its id some seconds later, knowing nothing of before. */
    crashAndRestart(downMs, beforeRestart = async () => undefined) {
        if (this.isDown) {
            return;
        }
        this.isDown = true;
        const { port } = this.server.address();
        const host = this.server.address().address;
        this.server.close();
        this.sockets.forEach(socket => socket.resetAndDestroy());
        this.row.stop();
        const { row } = this;
        // The entry lapses after three heartbeats of silence.
        const lapsing = setTimeout(() => row.drop(), silenceMs);
        this.record("replica crashed", { replica: this.id });
        this.forget();
        setTimeout(async () => {
            await beforeRestart();
            this.server.listen(port, host, () => {
                clearTimeout(lapsing);
                this.isDown = false;
                this.born = Date.now();
                this.row = new KeptRow(this.store, "servers", this.id);
                this.register();
                this.record("replica restarted", { replica: this.id });
            });
        }, downMs);
    }

    forget() {}

    commonHeaders(request) {
        return {
            "attempt-id": request.headers["attempt-id"] ?? "",
            ...this.state === "draining" ? { "server-leaving": "1", connection: "close" } : {},
        };
    }

    async serve(request, response) {
        const chunks = [];
        for await (const chunk of request) {
            chunks.push(chunk);
        }
        const expected = request.headers["expect-replica"];
        if (expected !== undefined && expected !== this.id) {
            response.writeHead(421, { ...this.commonHeaders(request), "not-executed": "1", "at-server": this.id });
            response.end();
            return;
        }
        if (this.serveControl(request, response, Buffer.concat(chunks).toString())) {
            return;
        }
        const arrival = { id: request.headers["attempt-id"], atMs: performance.now() };
        this.requests.push(arrival);
        arrival.prefix = request.headers["prompt-prefix"];
        this.onRequest(arrival);
        this.active++;
        setTimeout(() => {
            this.active--;
            this.respond(request, response);
        }, this.workMs);
    }

    onRequest() {}

    serveControl() {
        return false;
    }

    respond(request, response) {
        response.writeHead(200, {
            ...this.commonHeaders(request),
            "response-seal": `seal-${this.id}`,
            "replica-load": `${this.active},0,${this.slots}`,
            "content-type": "text/plain",
        });
        response.end(`answer of ${this.id}`);
    }
}

/** An engine: joins groups by orders, and serves as the head of an open one. */
export class Engine extends Replica {
    group = undefined;
    sequence = 0;
    highestEpoch = 0;
    staged = [];
    lastModel = undefined;
    busyUntil = 0;

    constructor(options) {
        super(options);
        const { domain, models, formationMs, fleet, kept = 1 } = options;
        Object.assign(this, { domain, models, formationMs, fleet, kept });
        fleet.set(this.id, this);
    }

    forget() {
        this.group = undefined;
        this.sequence = 0;
        this.highestEpoch = 0;
        this.lastModel = undefined;
    }

    entry() {
        return { ...super.entry(), ...this.reported() };
    }

    reported() {
        return {
            phase: "mixed",
            models: this.group === undefined ? [] : [{ name: this.group.model, version: 1, adapters: [] }],
            failure_domain: this.domain,
            staged: [...this.staged],
            group: this.group === undefined ? null : {
                name: this.group.name,
                epoch: this.group.epoch,
                rank: this.group.rank,
                state: this.group.state,
            },
        };
    }

    setState(group, state) {
        if (this.group === group && !this.isDark && !this.isDown) {
            group.state = state;
            this.record("group state", { replica: this.id, group: group.name, rank: group.rank, state });
            this.register();
        }
    }

    serveControl(request, response, body) {
        const send = (status, answer) => {
            response.writeHead(status, { ...this.commonHeaders(request), "content-type": "application/json" });
            response.end(JSON.stringify(answer));
        };
        if (request.method === "GET" && request.url === "/rattanquay/report") {
            send(200, {
                ...this.reported(),
                busy: false,
                born: this.born,
                sequence: this.sequence,
                queued: 0,
                active: this.active,
                kv_used: 0,
                kv_total: 1_000_000,
                kv_handles: 0,
            });
            return true;
        }
        if (request.method === "POST" && request.url === "/rattanquay/order") {
            const order = JSON.parse(body);
            const status = this.order(order);
            this.sequence += status === 202 ? 1 : 0;
            this.record("order", { replica: this.id, ...order, status });
            send(status, {});
            return true;
        }
        return false;
    }

    order(order) {
        const { operation, group: name, epoch, model, members } = order;
        const own = this.group !== undefined && this.group.name === name && this.group.epoch === epoch;
        if (operation === "phase") {
            if (this.staged.includes(model)) {
                return 200;
            }
            setTimeout(() => this.stage(model), this.loadMsOf(model));
            return 202;
        }
        if (operation === "join") {
            return this.join({ name, epoch, model, members }, own);
        }
        if (!own) {
            return 409;
        }
        if (operation === "leave") {
            const left = this.group;
            this.group = undefined;
            this.record("group left", { replica: this.id, group: left.name, rank: left.rank, state: left.state });
            this.register();
            return 202;
        }
        if (operation === "open") {
            if (this.group.state === "open") {
                return 200;
            }
            if (this.group.rank !== 0 || this.group.state !== "ready") {
                return 409;
            }
            const { group } = this;
            group.isOpening = true;
            setTimeout(() => this.setState(group, "open"), this.formationMs);
            this.onOpenOrder(group);
            return 202;
        }
        if (operation === "close") {
            if (this.group.state === "open") {
                const { group } = this;
                this.setState(group, "closing");
                setTimeout(() => this.setState(group, "ready"), 200);
                return 202;
            }
            return 409;
        }
        return 400;
    }

    /** Before the first request, loads take one tenth of the time. */
    loadMsOf(model) {
        return this.models[model].loadMs * (this.fleet.hasTraffic ? 1 : 0.1);
    }

    onOpenOrder() {}

    join({ name, epoch, model, members }, own) {
        if (own && JSON.stringify(this.group.members) === JSON.stringify(members)) {
            return 200;
        }
        if (epoch < this.highestEpoch || own || !(model in this.models)) {
            return 412;
        }
        this.checkTwo(name, epoch);
        this.highestEpoch = epoch;
        const group = { name, epoch, model, members, rank: members.indexOf(this.id), state: "joining" };
        const { warmupMs } = this.models[model];
        const loadMs = this.loadMsOf(model);
        const wasStaged = this.staged.includes(model);
        const joinMs = this.lastModel === model ? 200 : wasStaged ? warmupMs : loadMs;
        this.group = group;
        this.register();
        setTimeout(() => {
            if (this.group === group) {
                this.lastModel = model;
                this.stage(model);
                this.setState(group, "ready");
            }
        }, joinMs);
        return 202;
    }

    /** TWO: "A replica takes a join of another group while the head of its group is open or closing". */
    checkTwo(name, epoch) {
        const before = this.group;
        const head = before === undefined ? undefined : this.fleet.get(before.members[0]);
        const isServing = head?.group !== undefined && !head.isDark
            && head.group.name === before.name && head.group.epoch === before.epoch
            && (head.group.state === "open" || head.group.state === "closing");
        if (isServing) {
            this.record("TWO BROKEN", {
                replica: this.id,
                ownGroup: before.name,
                head: head.id,
                headState: head.group.state,
                joins: name,
                epoch,
            });
            this.onTwo();
        }
    }

    onTwo() {}

    stage(model) {
        this.staged = [model, ...this.staged.filter(other => other !== model)].slice(0, this.kept);
        if (!this.isDark && !this.isDown) {
            this.register();
        }
    }

    /** Whether this request ends the replica as it begins to write its answer. */
    isEndedBy() {
        return false;
    }

    respond(request, response) {
        if (response.destroyed || this.isDown) {
            return;
        }
        const isHead = this.group?.rank === 0 && this.group.state === "open";
        if (!isHead) {
            response.writeHead(421, { ...this.commonHeaders(request), "not-executed": "1", "at-server": this.id });
            response.end();
            return;
        }
        response.writeHead(200, {
            ...this.commonHeaders(request),
            "response-seal": `seal-${this.id}`,
            "weight-versions": "1",
            "content-type": "text/event-stream",
        });
        if (this.isEndedBy(request)) {
            response.write("id: 1\nda");
            setImmediate(() => this.crashAndRestart(this.downMs));
            return;
        }
        for (let id = 1; id <= 3; id++) {
            response.write(`id: ${id}\ndata: piece-${id}\n\n`);
        }
        response.end();
    }
}
