/**
 * Checks that `dist/rattanquay` is self-contained: copies only that file and a settings file into a new folder outside
 * the repository, serves a request there end to end with the lab's fake platform and engines, and measures idle memory.
 *
 * Run `npm run build` first. The last line is one JSON object; the exit code is 0 if all checks passed.
 */
import { spawn } from "node:child_process";
import { copyFileSync, mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";

const waitLimitMs = 30_000;
const idleMs = 10_000;
const operatorKey = "check-operator-key";
const callerKey = "check-workspace-key";
const folder = mkdtempSync(join(tmpdir(), "rattanquay-binary-"));
const binary = join(folder, "rattanquay");
const lab = resolve("dist/rattanquay-lab.cjs");
const environment = { AWS_ACCESS_KEY_ID: "lab", AWS_SECRET_ACCESS_KEY: "lab", RATTANQUAY_OPERATOR_KEY: operatorKey };
const children = [];

const sleep = ms => new Promise(done => setTimeout(done, ms));

const start = (program, args) => {
    const child = spawn(program, args, { cwd: folder, env: environment, stdio: ["pipe", "pipe", "pipe"] });
    const run = { child, stdout: "", stderr: "" };
    child.stdout.on("data", data => run.stdout += data);
    child.stderr.on("data", data => run.stderr += data);
    children.push(child);
    return run;
};

const finish = run => new Promise(done => run.child.once("close", code => done({ ...run, code })));

const freePort = () =>
    new Promise(done => {
        const server = createServer().listen(0, "127.0.0.1", () => {
            const { port } = server.address();
            server.close(() => done(port));
        });
    });

const until = async (description, condition) => {
    for (const limit = performance.now() + waitLimitMs; performance.now() < limit; await sleep(50)) {
        if (await condition().catch(() => false)) {
            return;
        }
    }
    throw new Error(`waited ${waitLimitMs} ms for: ${description}`);
};

const residentMb = child => {
    const status = readFileSync(`/proc/${child.pid}/status`, "utf8");
    return Math.round(Number(/^VmRSS:\s+(\d+) kB/m.exec(status)[1]) / 102.4) / 10;
};

const isJson = line => {
    try {
        JSON.parse(line);
        return true;
    }
    catch {
        return false;
    }
};

const hashKey = async key => {
    const run = start(binary, ["key", "hash"]);
    run.child.stdin.end(key);
    return (await finish(run)).stdout.trim();
};

const startFakes = async () => {
    const platformPort = await freePort();
    start(process.execPath, [lab, "platform", "--port", String(platformPort), "--list-lag-ms", "200"]);
    const isUp = async path => (await fetch(`http://127.0.0.1:${platformPort}${path}`)).ok;
    await until("the fake platform", () => isUp("/instances"));
    for (const instance of ["i0", "i1"]) {
        const options = { instance, availabilityZone: "zone-a", fabricDomain: "d0", platformPort };
        const port = String(await freePort());
        start(process.execPath, [lab, "engine", "--port", port, "--options", JSON.stringify(options)]);
    }
    return platformPort;
};

const writeSettings = async platformPort => {
    const ports = { callers: await freePort(), operators: await freePort(), peers: await freePort() };
    const listeners = Object.fromEntries(Object.entries(ports).map(([name, port]) => [name, { port }]));
    const settings = {
        process: { id: "entry-1", region: "lab", availabilityZone: "zone-a" },
        listeners,
        platform: {
            tableEndpoint: `http://127.0.0.1:${platformPort}`,
            instancesEndpoint: `http://127.0.0.1:${platformPort}/instances`,
        },
        peers: { secret: "check-peer-secret-0123456789" },
        operators: [{ name: "check", keySha256: await hashKey(operatorKey) }],
        limits: { shutdownNoticeMs: 200 },
    };
    writeFileSync(join(folder, "settings.json"), JSON.stringify(settings));
    return ports;
};

const submitTicket = async ports => {
    const ticket = {
        ticket: 1,
        author: "check",
        services: {
            assistant: { kind: "model", model: "stand-in", version: "v1", replicas: { "zone-a": 1 }, groupSize: 2 },
        },
        workspaces: { installers: { keySha256: [await hashKey(callerKey)], services: ["assistant"] } },
    };
    const file = join(folder, "ticket.json");
    writeFileSync(file, JSON.stringify(ticket));
    const endpoint = ["--endpoint", `http://127.0.0.1:${ports.operators}`];
    await until(
        "the ticket to be accepted",
        async () => (await finish(start(binary, ["ticket", "submit", file, ...endpoint]))).code === 0,
    );
    rmSync(file);
};

const callChat = async ports => {
    const response = await fetch(`http://127.0.0.1:${ports.callers}/v1/chat/completions`, {
        method: "POST",
        headers: { authorization: `Bearer ${callerKey}` },
        body: JSON.stringify({
            model: "assistant",
            stream: true,
            max_tokens: 20,
            messages: [{ role: "user", content: "E7?" }],
        }),
    });
    const text = await response.text();
    return response.status === 200 && text.trimEnd().endsWith("data: [DONE]");
};

const check = async () => {
    copyFileSync("dist/rattanquay", binary);
    const ports = await writeSettings(await startFakes());
    const initialFiles = readdirSync(folder);
    const entry = start(binary, ["serve", "--settings", "settings.json"]);
    const isUp = async () => (await fetch(`http://127.0.0.1:${ports.operators}/healthz`)).ok;
    await until("the binary to listen", isUp);
    await submitTicket(ports);
    await until("a complete streamed answer", () => callChat(ports));
    const bareNode = start(process.execPath, ["-e", "setInterval(() => undefined, 1000)"]);
    await sleep(idleMs);
    const memory = { bareNodeResidentMb: residentMb(bareNode.child), idleResidentMb: residentMb(entry.child) };
    const ended = finish(entry);
    entry.child.kill("SIGTERM");
    const { code } = await ended;
    const logLines = entry.stderr.trim().split("\n");
    return { folderHeld: initialFiles.sort(), exitCode: code, logIsJson: logLines.every(isJson), ...memory };
};

try {
    const result = await check();
    console.log(JSON.stringify(result));
    process.exitCode = result.exitCode === 0 && result.logIsJson ? 0 : 1;
}
finally {
    children.forEach(child => child.kill("SIGKILL"));
    rmSync(folder, { recursive: true });
}
