/**
 * Starts the project's own programs as separate processes, with the command of `deploy/system.toml` and a settings file
 * like that of a small deployment. Each process has a loopback address of its own, because its metrics port is fixed.
 */
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { request as httpRequest } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { startProxy } from "./proxy.mjs";

const root = join(dirname(fileURLToPath(import.meta.url)), "..", "..");
const zones = { "zone-a": "region", "zone-b": "region", "zone-c": "region" };

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** The words of `run` in the deploy file. */
function deployCommand() {
    const text = readFileSync(join(root, "deploy", "system.toml"), "utf8");
    return /^run = "(.*)"$/m.exec(text)[1].split(" ");
}

/** Three different ports: one that was free a moment ago may be given out again. */
async function freePorts(host) {
    const found = new Set();
    while (found.size < 3) {
        found.add(await freePort(host));
    }
    const [frontend, ready, control] = found;
    return { frontend, ready, control };
}

function freePort(host) {
    return new Promise((resolve, reject) => {
        const server = createServer();
        server.on("error", reject);
        server.listen(0, host, () => {
            const { port } = server.address();
            server.close(() => resolve(port));
        });
    });
}

/** Settings of the machines' processes; `bounds` are those of the sheet's first deployment. */
function settingsOf({ name, zone, ip, ports, seeds, storeAddress, bootstrap }) {
    return {
        node_name: name,
        role: "entry",
        machine_class: "edge",
        serves: ["edge", "control"],
        ip,
        zone,
        region: "region",
        zones,
        listen: {
            frontend: `${ip}:${ports.frontend}`,
            ready: `${ip}:${ports.ready}`,
            control_plane: `${ip}:${ports.control}`,
        },
        internal_ports: [7340, 7355],
        seed_nodes: seeds,
        bootstrap,
        fault_counted: false,
        limits: { cpu_share: 0.459, cpu_cores: 1, memory_mb: 272, max_fds: 2069, link_mbps: 490, disk_mb: 0 },
        data_dir: null,
        discovery: "platform",
        entry_point: "virtual_ip",
        heartbeat_ms: 1200,
        contracts: [
            "base",
            "drain",
            "config",
            "cost",
            "retry",
            "recover",
            "engine",
            "stream",
            "tenants",
            "platform",
            "gangs",
        ],
        fault_tolerance: { machines: 2, zones: 1, regions: 0 },
        bounds: {
            seed_lag_s: 3,
            reuse_after_s: 2,
            contact_ms: 3000,
            ack_timeout_ms: 4000,
            catch_up_s: 4,
            drain_ms: 2000,
            grace_period_s: 8,
            loss_slack_ms: 200,
            config_apply_ms: 2000,
            rollback_slack_ms: 250,
            outer_bound_ms: 5000,
            revoke_partitioned: false,
            revoke_ms: 5000,
            retry_budget_ratio: 0.2,
            budget_window_s: 10,
            retry_budget_extra: 225,
            recovery_s: 12,
            event_delay_ms: 120,
            retry_after_s: 0,
            stall_ms: 4000,
            fencing_enabled: false,
            ceiling_window_s: 5,
            load_burst_factor: 1.1,
        },
        platform: {
            address: storeAddress,
            form: "table",
            writes_per_s: 400,
            reads_per_s: 2000,
            transaction_ms: 5,
            partition_writes_s: 200,
            max_row_bytes: 65536,
            cross_partition: false,
            history_s: 20,
            max_blob_bytes: 8388608,
            blob_ms: 25,
            blob_mb_s: 80,
        },
    };
}

/** A free loopback address for each process. */
async function loopbackAddress(index) {
    for (;;) {
        const ip = `127.${60 + Math.floor(Math.random() * 150)}.${1 + Math.floor(Math.random() * 250)}.${10 + index}`;
        const isFree = await new Promise(resolve => {
            const probe = createServer();
            probe.on("error", () => resolve(false));
            probe.listen(9464, ip, () => probe.close(() => resolve(true)));
        });
        if (isFree) {
            return ip;
        }
    }
}

/**
 * Starts processes of the system, one for each entry of `places` (names of zones). A process that ends by itself is
 * started again after `restartMs`, as on the platform; every end is kept in `ends`.
 */
export async function startSystem({ store, places, note = () => undefined, restartMs = 500 }) {
    const folder = mkdtempSync(join(tmpdir(), "review-"));
    const [command, ...args] = deployCommand();
    const nodes = [];
    for (const [index, zone] of places.entries()) {
        const ip = await loopbackAddress(index);
        const ports = await freePorts(ip);
        const path = await store.open();
        const proxy = await startProxy(path.address);
        nodes.push({
            name: `edge-${zone}-${index + 1}`,
            zone,
            ip,
            ports,
            access: path.access,
            address: proxy.address,
            storeProxy: proxy,
        });
    }
    const seeds = nodes.slice(0, 3).map(({ ip, ports }) => `${ip}:${ports.control}`);
    let isStopping = false;
    const start = (node, bootstrap) => {
        const path = join(folder, `${node.name}.json`);
        const { name, zone, ip, ports, address: storeAddress } = node;
        writeFileSync(path, JSON.stringify(settingsOf({ name, zone, ip, ports, seeds, storeAddress, bootstrap })));
        const child = spawn(command === "node" ? process.execPath : command, args, {
            cwd: root,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, RATTANQUAY_BOOT: path },
            stdio: ["ignore", "pipe", "pipe"],
        });
        node.child = child;
        node.output = [];
        const keep = chunk => {
            node.output.push(chunk.toString());
            if (node.output.length > 4_000) {
                node.output.shift();
            }
            node.onOutput?.(chunk.toString());
        };
        child.stdout.on("data", keep);
        child.stderr.on("data", keep);
        child.on("exit", (code, signal) => {
            const isOwn = !isStopping && !node.isEndExpected;
            const lastWords = /"error":"([^"\\]*)/.exec(
                node.output.join("").split("\n").filter(line => line.includes("invariantBroken")).at(-1) ?? "",
            )?.[1];
            node.ends.push({ code, signal, isOwn, lastWords });
            if (isOwn) {
                note(`process ${name} ended by itself, code ${code}, signal ${signal}`);
            }
            if (!isStopping && node.restarts) {
                setTimeout(() => {
                    if (!isStopping) {
                        node.isEndExpected = false;
                        note(`process ${name} is started again`);
                        start(node, false);
                    }
                }, restartMs);
            }
        });
    };
    nodes.forEach(node => {
        node.ends = [];
        node.restarts = true;
        start(node, true);
    });
    return {
        nodes,
        /** Sends a signal that the case plans; the end that it brings isn't counted as the process's own. */
        signal: (node, signal) => {
            node.isEndExpected = signal !== "SIGSTOP" && signal !== "SIGCONT" && signal !== "SIGHUP";
            note(`${signal} to process ${node.name}`);
            process.kill(node.child.pid, signal);
        },
        stop: async () => {
            isStopping = true;
            for (const { child } of nodes) {
                if (child.exitCode === null && child.signalCode === null) {
                    child.kill("SIGCONT");
                    child.kill("SIGKILL");
                    await new Promise(resolve => child.on("exit", resolve));
                }
            }
            nodes.forEach(({ storeProxy }) => storeProxy.close());
            rmSync(folder, { recursive: true, force: true });
        },
    };
}

/** Whether the process answers the platform's question for readiness with 200. */
export function isReady({ ip, ports }) {
    return new Promise(resolve => {
        const request = httpRequest({
            host: ip,
            port: ports.ready,
            path: "/rattanquay/readyz",
            agent: false,
            timeout: 900,
        });
        request.on("response", response => {
            response.resume();
            resolve(response.statusCode === 200);
        });
        request.on("timeout", () => request.destroy());
        request.on("error", () => resolve(false));
        request.end();
    });
}

/** Waits until all processes say that they are ready; if not, what they wrote is kept in the record. */
export async function waitUntilReady(system, note) {
    try {
        const areReady = async () => (await Promise.all(system.nodes.map(isReady))).every(Boolean);
        await waitUntil(areReady, 15_000, "readiness");
    }
    catch (error) {
        system.nodes.forEach(({ name, ip, ports, ends, output }) =>
            note(
                `${name} at ${ip} ${JSON.stringify(ports)}, ends ${JSON.stringify(ends)}, wrote ${
                    output.join("").slice(-3_000)
                }`,
            )
        );
        throw error;
    }
    note("all processes are ready");
}

export async function waitUntil(isTrue, limitMs, what) {
    const endAt = performance.now() + limitMs;
    while (performance.now() < endAt) {
        if (await isTrue()) {
            return;
        }
        await sleep(50);
    }
    throw new CannotRun(`${what} did not happen within ${limitMs} ms`);
}

/** The case couldn't be played: exit status 2. */
export class CannotRun extends Error {}

let nextAttempt = 0;
const run = Math.floor(Math.random() * 0xffff).toString(16);

/**
 * One attempt of a client, on a new connection or on `agent`. Resolves to the status (0 for a connection that was closed
 * or reset, or that the client gave up), the headers, the body, whether it is whole, and whether the connection had carried
 * an earlier request.
 */
export function send(
    node,
    { path, method = "POST", body = "{}", headers = {}, deadlineMs = 1500, agent = false, key },
) {
    const attempt = `${run}${(nextAttempt++).toString(16).padStart(8, "0")}`;
    const sentAt = performance.now();
    return new Promise(resolve => {
        const chunks = [];
        let head;
        let hasGivenUp = false;
        const done = isWhole => {
            clearTimeout(timer);
            resolve({
                attempt,
                node: node.name,
                status: head?.statusCode ?? 0,
                headers: head?.headers ?? {},
                body: Buffer.concat(chunks).toString("latin1"),
                isWhole,
                isKept: request.reusedSocket,
                hasGivenUp,
                ms: Math.round(performance.now() - sentAt),
            });
        };
        const request = httpRequest({
            host: node.ip,
            port: node.ports.frontend,
            path,
            method,
            agent,
            headers: {
                host: "calls.example",
                "attempt-id": attempt,
                "deadline-ms": String(deadlineMs),
                ...key === undefined ? {} : { "api-key": key },
                ...method === "GET" ? {} : { "content-length": Buffer.byteLength(body) },
                ...headers,
            },
        });
        const timer = setTimeout(() => {
            hasGivenUp = true;
            request.destroy(new Error("deadline"));
        }, deadlineMs + 200);
        request.on("error", () => done(false));
        request.on("response", response => {
            head = response;
            response.on("data", chunk => chunks.push(chunk));
            response.on("end", () => done(response.complete));
            response.on("error", () => done(false));
        });
        request.end(method === "GET" ? undefined : body);
    });
}
