// Starts entry processes as deploy/system.toml does, each on a loopback address of its own, and ends them.
import { spawn } from "node:child_process";
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

export const repository = join(dirname(fileURLToPath(import.meta.url)), "..", "..");
export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** The settings of the sites in force. */
export const bounds = {
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
};
export const limits = { cpu_share: 0.459, cpu_cores: 1, memory_mb: 272, max_fds: 2069, link_mbps: 490, disk_mb: 0 };

export async function freePort(host) {
    const server = createServer();
    await new Promise(resolve => server.listen(0, host, resolve));
    const { port } = server.address();
    await new Promise(resolve => server.close(resolve));
    return port;
}

export async function startEntries(names, { storeAddress, zoneOf, hostOf, folder }) {
    const scratch = mkdtempSync(join(tmpdir(), "review-"));
    const planned = [];
    for (const [index, name] of names.entries()) {
        const ip = hostOf(index);
        const [frontend, ready, control] = [await freePort(ip), await freePort(ip), await freePort(ip)];
        planned.push({
            name,
            ip,
            zone: zoneOf(index),
            listen: {
                frontend: `${ip}:${frontend}`,
                ready: `${ip}:${ready}`,
                control_plane: `${ip}:${control}`,
            },
        });
    }
    const zones = Object.fromEntries([...new Set(planned.map(({ zone }) => zone))].map(zone => [zone, "region-1"]));
    const run = /^run = "([^"]+)"/m.exec(readFileSync(join(repository, "deploy", "system.toml"), "utf8"))[1].split(" ");
    const logs = createWriteStream(join(scratch, "entries.log"));
    const entries = planned.map(({ name, ip, zone, listen }) => {
        const boot = join(scratch, `${name}.json`);
        writeFileSync(
            boot,
            JSON.stringify({
                node_name: name,
                role: "entry",
                machine_class: "edge",
                serves: ["edge", "control"],
                ip,
                zone,
                region: "region-1",
                zones,
                listen,
                internal_ports: [7340, 7355],
                seed_nodes: planned.slice(0, 3).map(other => other.listen.control_plane),
                bootstrap: true,
                fault_counted: false,
                limits,
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
                bounds,
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
                },
            }),
        );
        const child = spawn(run[0] === "node" ? process.execPath : run[0], run.slice(1), {
            cwd: repository,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, RATTANQUAY_BOOT: boot },
            stdio: ["ignore", "pipe", "pipe"],
        });
        const entry = { name, ip, zone, listen, child, exit: undefined };
        child.stdout.on("data", text => logs.write(text));
        child.stderr.on("data", text => logs.write(text));
        child.on("exit", (code, signal) => entry.exit = { code, signal });
        return entry;
    });
    const isReady = ({ listen }) =>
        new Promise(resolve => {
            const [host, port] = listen.ready.split(":");
            const asked = request({ host, port, path: "/rattanquay/readyz", timeout: 1000, agent: false }, response => {
                response.resume();
                resolve(response.statusCode === 200);
            });
            asked.on("error", () => resolve(false));
            asked.on("timeout", () => asked.destroy());
            asked.end();
        });
    return {
        entries,
        logFile: join(scratch, "entries.log"),
        waitReady: async withinMs => {
            const endMs = performance.now() + withinMs;
            for (;;) {
                const ready = await Promise.all(entries.map(isReady));
                if (ready.every(Boolean)) {
                    return true;
                }
                if (performance.now() > endMs) {
                    return false;
                }
                await sleep(200);
            }
        },
        /** Ends the processes that were started here, by their ids. */
        stop: async () => {
            const running = entries.filter(({ exit }) => exit === undefined);
            running.forEach(({ child }) => child.kill("SIGKILL"));
            await Promise.all(running.map(({ child }) => new Promise(resolve => child.once("exit", resolve))));
            logs.end();
            if (process.env.KEEP !== "1") {
                rmSync(scratch, { recursive: true, force: true });
            }
        },
    };
}

/** Private memory of a process in MB, without the program's own text and what it shares. */
export function privateMegabytes(pid) {
    try {
        const status = readFileSync(`/proc/${pid}/status`, "utf8");
        return Number(/^RssAnon:\s+(\d+) kB/m.exec(status)?.[1] ?? NaN) / 1024;
    }
    catch {
        return NaN;
    }
}
