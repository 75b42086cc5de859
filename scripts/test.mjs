/**
 * Runs each test file in its own process, a few at a time, and sums up the results.
 *
 * Tests under `packages/lab` start clusters of processes, and those under `platform` a gateway with fake services. They
 * run one after another: in parallel they would slow each other down until evidence expires, and the results would
 * depend on the machine.
 *
 * Tests listed in KNOWN-RED.txt (`test: <file> :: <test name>`) may fail; they are printed and do not fail the run.
 * With file arguments, only those files run. The last line is `N passed, N failed`.
 */
import { execFileSync, spawn } from "node:child_process";
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { availableParallelism } from "node:os";

const fileTimeoutMs = 240_000;
const parallel = Math.max(2, Math.min(4, availableParallelism() - 2));
const stripColors = text => text.replace(/\u001b\[[0-9;]*m/g, "");

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

const readKnownFailures = () => {
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
            resolve({ file, code, output: stripColors(output) });
        });
    });

const sumCounts = (text, label) => {
    const pattern = new RegExp(`^\\s*${label}:\\s+(\\d+)`, "gm");
    return [...text.matchAll(pattern)].reduce((total, match) => total + Number(match[1]), 0);
};

const evaluate = (result, knownFailures) => {
    const total = sumCounts(result.output, "Total");
    const passed = sumCounts(result.output, "Passed");
    const failures = [...result.output.matchAll(/^\s*FAIL\s+(?:\S+\s+)?"(.*)"\s*$/gm)].map(match =>
        `${result.file} :: ${match[1]}`
    );
    const known = failures.filter(name => knownFailures.has(name));
    const crashed = total === 0 || (result.code !== 0 && failures.length === 0);
    const failed = Math.max(total - passed, failures.length) + (crashed ? 1 : 0);
    return { ...result, passed, failed: failed - known.length, known };
};

/** Tests that start separate processes run the bundled programs. */
execFileSync(process.execPath, ["scripts/build.mjs", "--bundle-only"], { stdio: "inherit" });
const files = listFiles();
const knownFailures = readKnownFailures();
const results = [];
const startsClusters = file => file.startsWith("packages/lab/") || file.startsWith("platform/");
const runAll = async queue => {
    for (let file = queue.shift(); file !== undefined; file = queue.shift()) {
        const result = evaluate(await runFile(file), knownFailures);
        results.push(result);
        console.log(`${result.failed === 0 ? "ok  " : "FAIL"} ${file} (${result.passed} passed)`);
        if (result.failed > 0) {
            console.log(result.output);
        }
        result.known.forEach(name => console.log(`known red: ${name}`));
    }
};
const parallelFiles = files.filter(file => !startsClusters(file));
await Promise.all(Array.from({ length: parallel }, () => runAll(parallelFiles)));
await runAll(files.filter(startsClusters));
const passed = results.reduce((total, result) => total + result.passed, 0);
const failed = results.reduce((total, result) => total + result.failed, 0);
console.log(`${passed} passed, ${failed} failed`);
process.exitCode = failed === 0 && passed > 0 ? 0 : 1;
