/**
 * Runs each test file in a process of its own, a few at a time, and adds the results up.
 *
 * Tests of the lab start whole clusters of processes, and those of the adapter a gateway with its stand-ins, so they run one
 * after another: two at once would slow each other down until evidence ages out, and the verdict would hang on the machine.
 *
 * Tests named in KNOWN-RED.txt (`test: <file> :: <test name>`) may fail; they are printed and do not fail the run.
 * With file arguments only those files run. The last line is `N passed, N failed`.
 */
import { execFileSync, spawn } from "node:child_process";
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { availableParallelism } from "node:os";

const fileTimeoutMs = 240_000;
const parallel = Math.max(2, Math.min(4, availableParallelism() - 2));
const strip = text => text.replace(/\u001b\[[0-9;]*m/g, "");

const listFiles = () => {
    const named = process.argv.slice(2);
    if (named.length > 0) {
        return named;
    }
    const paths = ["packages", "platform"].flatMap(folder =>
        readdirSync(folder, { recursive: true }).map(path => `${folder}/${path}`)
    );
    return paths.filter(path => /__tests__\/[^/]+\.test\.ts$/.test(path) && !path.includes("node_modules")).sort();
};

const knownRed = () => {
    if (!existsSync("KNOWN-RED.txt")) {
        return new Set();
    }
    const lines = readFileSync("KNOWN-RED.txt", "utf8").split("\n");
    return new Set(lines.filter(line => line.startsWith("test: ")).map(line => line.slice("test: ".length).trim()));
};

const runFile = file =>
    new Promise(resolve => {
        const child = spawn(process.execPath, ["--import", "tsx", file], { stdio: ["ignore", "pipe", "pipe"] });
        let output = "";
        child.stdout.on("data", data => output += data);
        child.stderr.on("data", data => output += data);
        const timer = setTimeout(() => child.kill("SIGKILL"), fileTimeoutMs);
        child.on("exit", code => {
            clearTimeout(timer);
            resolve({ file, code, output: strip(output) });
        });
    });

const sum = (text, label) => {
    const pattern = new RegExp(`^\\s*${label}:\\s+(\\d+)`, "gm");
    return [...text.matchAll(pattern)].reduce((total, match) => total + Number(match[1]), 0);
};

const judge = (result, red) => {
    const total = sum(result.output, "Total");
    const passed = sum(result.output, "Passed");
    const failures = [...result.output.matchAll(/^\s*FAIL\s+(?:\S+\s+)?"(.*)"\s*$/gm)].map(match =>
        `${result.file} :: ${match[1]}`
    );
    const known = failures.filter(name => red.has(name));
    const crashed = total === 0 || (result.code !== 0 && failures.length === 0);
    const failed = Math.max(total - passed, failures.length) + (crashed ? 1 : 0);
    return { ...result, passed, failed: failed - known.length, known };
};

/** Tests that run separate processes run the bundles. */
execFileSync(process.execPath, ["scripts/build.mjs", "--bundle-only"], { stdio: "inherit" });
const files = listFiles();
const red = knownRed();
const results = [];
const startsClusters = file => file.startsWith("packages/lab/") || file.startsWith("platform/");
const runAll = async queue => {
    for (let file = queue.shift(); file !== undefined; file = queue.shift()) {
        const result = judge(await runFile(file), red);
        results.push(result);
        console.log(`${result.failed === 0 ? "ok  " : "FAIL"} ${file} (${result.passed} passed)`);
        if (result.failed > 0) {
            console.log(result.output);
        }
        result.known.forEach(name => console.log(`known red: ${name}`));
    }
};
const light = files.filter(file => !startsClusters(file));
await Promise.all(Array.from({ length: parallel }, () => runAll(light)));
await runAll(files.filter(startsClusters));
const passed = results.reduce((total, result) => total + result.passed, 0);
const failed = results.reduce((total, result) => total + result.failed, 0);
console.log(`${passed} passed, ${failed} failed`);
process.exitCode = failed === 0 && passed > 0 ? 0 : 1;
