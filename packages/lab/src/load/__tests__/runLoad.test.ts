/** The `load` command against running entry instances. */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { defaultSpec, type EmbeddedCluster, startEmbeddedCluster } from "../../cluster";
import { runLoad } from "..";

const folder = mkdtempSync(join(tmpdir(), "rattanquay-load-"));
const file = join(folder, "workload.json");
let cluster: EmbeddedCluster;

test.before(async () => {
    cluster = await startEmbeddedCluster({ ...defaultSpec, zones: 1, entriesPerZone: 2 });
});

test.after(async () => {
    await cluster.stop();
    rmSync(folder, { recursive: true });
});

/** Runs the command and resolves to its exit code and its last line on standard output. */
const run = async (args: readonly string[]): Promise<{ readonly code: number; readonly last: string }> => {
    const { write } = process.stdout;
    let printed = "";
    process.stdout.write = text => {
        printed += String(text);
        return true;
    };
    const code = await runLoad(args).finally(() => process.stdout.write = write);
    return { code, last: printed.trimEnd().split("\n").at(-1) ?? "" };
};

test("each call of the workload is sent and gets a complete answer", async () => {
    const kinds = { short: { weight: 1, answerTokens: { kind: "fixed", tokens: 4 }, maxTokens: 8 } };
    writeFileSync(file, JSON.stringify({ arrivals: [{ atSeconds: 0, perSecond: 20 }], kinds }));
    const port = cluster.entries.map(entry => entry.callerPort).join(",");
    const { code, last } = await run(["--workload", file, "--port", port, "--seconds", "2", "--seed", "3"]);
    const { asRun } = JSON.parse(last).policies;
    assert.is(code, 0);
    assert.ok(asRun.sentCalls > 10);
    assert.is(asRun.wholeCalls, asRun.sentCalls);
});

const cases = [
    { name: "no workload", content: "{}", args: ["--port", "9"] },
    { name: "a workload without arrivals", content: '{"kinds":{}}', args: ["--port", "9", "--workload", file] },
];

for (const { name, content, args } of cases) {
    test(`${name} exits with 2`, async () => {
        writeFileSync(file, content);
        assert.is((await run(args)).code, 2);
    });
}

test.run();
