/** Runs the command line as a process and checks its output and exit code. */
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { defaultSpec, type ProcessCluster, runRattanquay, startProcessCluster, waitUntil } from "../cluster";

const folder = mkdtempSync(join(tmpdir(), "rattanquay-commands-"));
const recallTicketFile = join(folder, "recall.json");
const invalidTicketFile = join(folder, "broken.json");
writeFileSync(invalidTicketFile, '{\n  "ticket": 9,\n  "auhtor": "ana"\n}');

let cluster: ProcessCluster;
let ticketFile = "";
let recalledInstance = "";

test.before(async () => {
    cluster = await startProcessCluster({ ...defaultSpec, zones: 1, entriesPerZone: 1 });
    ticketFile = join(cluster.folder, "ticket-1.json");
    recalledInstance = cluster.engines[0]!.name;
});

test.after(async () => {
    await cluster.stop();
    rmSync(folder, { recursive: true });
});

const endpoint = (): string => `http://127.0.0.1:${cluster.entries[0]!.ports.operators}`;
const run = (args: readonly string[]) => runRattanquay([...args, "--endpoint", endpoint()]);

const offlineCases = [
    { name: "help", args: () => ["--help"], code: 0, stdout: /ticket diff/, stderr: /^$/ },
    { name: "an unknown command", args: () => ["tikcet"], code: 2, stdout: /^$/, stderr: /Usage: rattanquay COMMAND/ },
    { name: "a missing file", args: () => ["ticket", "check"], code: 2, stdout: /^$/, stderr: /FILE is missing/ },
    { name: "an unknown option", args: () => ["status", "--jsn"], code: 2, stdout: /^$/, stderr: /--jsn/ },
    {
        name: "valid settings",
        args: () => ["settings", "check", join(cluster.folder, `${cluster.entries[0]!.name}.json`)],
        code: 0,
        stdout: /is valid as settings/,
        stderr: /^$/,
    },
    {
        name: "a broken ticket",
        args: () => ["ticket", "check", invalidTicketFile],
        code: 1,
        stdout: /^$/,
        stderr: /broken\.json:3: auhtor: unknown key "auhtor"\. Did you mean "author"\?/,
    },
    {
        name: "a broken ticket as JSON",
        args: () => ["ticket", "check", invalidTicketFile, "--json"],
        code: 1,
        stdout: /"valid":false,"faults":\[\{"line":/,
        stderr: /^$/,
    },
    {
        name: "a file that holds no settings",
        args: () => ["serve", "--settings", invalidTicketFile],
        code: 2,
        stdout: /^$/,
        stderr: /broken\.json:1: process/,
    },
    {
        name: "an endpoint without a listener",
        args: () => ["status", "--endpoint", "http://127.0.0.1:9"],
        code: 3,
        stdout: /^$/,
        stderr: /does not answer/,
    },
    {
        name: "an address already in use",
        args: () => ["serve", "--settings", join(cluster.folder, `${cluster.entries[0]!.name}.json`)],
        code: 3,
        stdout: /^$/,
        stderr: /"message":"startFailed"|EADDRINUSE/,
    },
];

for (const { name, args, code, stdout, stderr } of offlineCases) {
    test(`${name} exits with ${code}`, async () => {
        const result = await runRattanquay(args());
        assert.is(result.code, code, result.stderr);
        assert.match(result.stdout, stdout);
        assert.match(result.stderr, stderr);
    });
}

const helpCases = [
    ["serve"],
    ["settings", "check"],
    ["ticket", "check"],
    ["ticket", "diff"],
    ["ticket", "submit"],
    ["ticket", "status"],
    ["ticket", "list"],
    ["ticket", "show"],
    ["recall"],
    ["status"],
    ["key", "hash"],
];

for (const commandWords of helpCases) {
    test(`${commandWords.join(" ")} --help prints its usage`, async () => {
        const result = await runRattanquay([...commandWords, "--help"]);
        assert.is(result.code, 0);
        assert.match(result.stdout, `Usage: rattanquay ${commandWords.join(" ")}`);
    });
}

test("a diff with the ticket that is in force shows no changes", async () => {
    const { stdout, code } = await run(["ticket", "diff", ticketFile, "--json"]);
    assert.is(code, 0);
    const { changes } = JSON.parse(stdout) as { changes: { change: string }[] };
    assert.equal(new Set(changes.map(({ change }) => change)), new Set(["unchanged"]));
});

test("a diff shows each changed key with both values, and a used number is refused", async () => {
    const ticket = JSON.parse(readFileSync(ticketFile, "utf8"));
    ticket.workspaces.installers.share = 4;
    const file = join(folder, "changed.json");
    writeFileSync(file, JSON.stringify(ticket));
    const diff = await run(["ticket", "diff", file]);
    assert.match(diff.stdout, /~ workspaces\/installers {2}changed\n {4}share: 1 -> 4/);
    assert.match(diff.stdout, /this number may be taken/);
    const submitted = await run(["ticket", "submit", file]);
    assert.is(submitted.code, 1);
    assert.match(submitted.stderr, /Ticket 1 was accepted with other content/);
});

test("a recall writes its ticket, and the recalled instance leaves every group", async () => {
    const args = ["--name", "batch-7", "--ticket", "7", "--author", "ana", "--instances", recalledInstance];
    const accepted = await run([
        "recall",
        ...args,
        "--reason",
        "cracked boards",
        "--write",
        recallTicketFile,
        "--json",
    ]);
    assert.is(accepted.code, 0, accepted.stderr);
    assert.is(JSON.parse(accepted.stdout).kind, "accepted");
    assert.is((await runRattanquay(["ticket", "check", recallTicketFile])).code, 0);
    const shown = JSON.parse((await run(["ticket", "show", "7", "--json"])).stdout);
    assert.equal(shown.content.recalls["batch-7"].instances, [recalledInstance]);
    assert.match(
        (await run(["ticket", "list"])).stdout,
        /^7 {2}revision 2 {2}ana {2}recalls\/batch-7 {2}cracked boards$/m,
    );
    await waitUntil("the recalled instance to leave its group", 20_000, async () => {
        const { groups } = JSON.parse((await run(["status", "--json"])).stdout) as {
            groups: { members: { instance: string }[] }[];
        };
        return groups.every(({ members }) => members.every(({ instance }) => instance !== recalledInstance));
    });
    assert.match((await run(["status"])).stdout, /assistant/);
});

test("a recall with a missing option is a usage error", async () => {
    const result = await run([
        "recall",
        "--name",
        "batch-8",
        "--ticket",
        "8",
        "--author",
        "ana",
        "--model",
        "stand-in",
    ]);
    assert.is(result.code, 2);
    assert.match(result.stderr, /version/);
});

test.run();
