/** A recall from start to end through separate processes, with the platform down and entry instances restarted. */
import { Ticket } from "@rattanquay/schema";
import { sleep, systemTimer } from "@rattanquay/timer";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
    defaultSpec,
    operate,
    type ProcessCluster,
    startProcessCluster,
    submit,
    ticketFor,
    until,
    untilServing,
} from "../cluster";
import { callChat, type CallResult } from "../load";

type Group = {
    readonly group: string;
    readonly version: string;
    readonly standing: string;
    readonly members: readonly { readonly instance: string }[];
};
type Status = { readonly config: { readonly revision: number }; readonly groups: readonly Group[] };
type Run = { readonly group: string; readonly requestId: string };

const spec = {
    ...defaultSpec,
    zones: 1,
    entriesPerZone: 3,
    instancesPerDomain: 6,
    replicasPerZone: 2,
    engine: { memberTimeoutMs: 5_000 },
};
const messages = [{ role: "user", content: "Heater 7 leaks at the flange." }];
const inForceMs = 3_000;
const noNewWorkMs = 3_000;
let cluster: ProcessCluster;

const operatorPorts = (): readonly number[] => cluster.entries.map(entry => entry.ports.operators);
const statuses = (): Promise<readonly Status[]> =>
    Promise.all(operatorPorts().map(async port => await operate(port, "/v1/status") as Status));
const setPlatform = (fault: object): Promise<unknown> =>
    fetch(`http://127.0.0.1:${cluster.platform.port}/lab/fault`, { method: "POST", body: JSON.stringify(fault) })
        .then(response => response.text());

async function runsOf(instance: string): Promise<readonly Run[]> {
    const engine = cluster.engines.find(({ name }) => name === instance)!;
    return await (await fetch(`http://127.0.0.1:${engine.port}/lab/executions`)).json() as readonly Run[];
}

const recallTicket = (ticket: number, instances: readonly string[]): Ticket =>
    Ticket.parse({ ticket, author: "lab", recalls: { "batch-9": { kind: "instances", instances } } });

const versionRecall = (ticket: number): Ticket =>
    Ticket.parse({
        ticket,
        author: "lab",
        recalls: { "stand-in-v1": { kind: "version", model: "stand-in", version: "v1" } },
    });

const ask = (index: number, length: number): Promise<CallResult> =>
    callChat({ port: cluster.entries[index % cluster.entries.length]!.port, messages, maxTokens: length, length });

/** Calls without pause until told to stop; resolves to everything that came back. */
function keepCalling(): { readonly stop: () => Promise<readonly CallResult[]> } {
    let going = true;
    const loops = cluster.entries.map(async (unused, index) => {
        const results: CallResult[] = [];
        while (going && results.length < 2_000) {
            results.push(await ask(index, 8));
        }
        return results;
    });
    return {
        stop: async () => {
            going = false;
            return (await Promise.all(loops)).flat();
        },
    };
}

let recalled: string;

test.before(async () => {
    cluster = await startProcessCluster(spec);
});

test.after(() => cluster.stop());

test("a recalled batch leaves everywhere within seconds and cuts nothing, though the platform goes down at once", async () => {
    const [{ groups }] = await statuses() as [Status];
    recalled = groups[0]!.members[0]!.instance;
    const running = Array.from({ length: 6 }, (unused, index) => ask(index, 500));
    const short = keepCalling();
    await sleep(systemTimer, 300);
    const verdict = await submit(operatorPorts()[0]!, recallTicket(10, [recalled]));
    await setPlatform({ down: true });
    assert.is(verdict.kind, "accepted");
    const revision = verdict.kind === "accepted" ? verdict.revision : 0;
    await until(
        "the recall to be in force everywhere",
        inForceMs,
        async () => (await statuses()).every(status => status.config.revision >= revision),
    );
    await sleep(systemTimer, noNewWorkMs);
    const before = (await runsOf(recalled)).length;
    await sleep(systemTimer, 1_000);
    assert.is((await runsOf(recalled)).length, before, "a recalled instance got new work");
    await setPlatform({ down: false });
    const results = [...await short.stop(), ...await Promise.all(running)];
    assert.equal(results.filter(result => !result.whole).map(result => result.errorCode), []);
    await untilServing(operatorPorts(), "assistant", spec.replicasPerZone, 20_000);
    await until(
        "the recalled instance to be in no group",
        20_000,
        async () => (await statuses()).every(status => !instancesOf(status).includes(recalled)),
    );
});

test("it stays away when every entry instance is killed and started again", async () => {
    const names = cluster.entries.map(entry => entry.name);
    cluster.entries.forEach(entry => entry.child.kill("SIGKILL"));
    await Promise.all(names.map(name => cluster.restartEntry(name)));
    await untilServing(operatorPorts(), "assistant", spec.replicasPerZone, 30_000);
    for (const status of await statuses()) {
        assert.not(instancesOf(status).includes(recalled));
    }
    const before = (await runsOf(recalled)).length;
    await Promise.all(Array.from({ length: 12 }, (unused, index) => ask(index, 5)));
    assert.is((await runsOf(recalled)).length, before);
});

test("a recalled version goes out everywhere, and the next declared version replaces it", async () => {
    await submit(operatorPorts()[1]!, versionRecall(11));
    await until(
        "no group of the recalled version to serve",
        inForceMs,
        async () =>
            (await statuses()).every(status =>
                !status.groups.some(({ version, standing }) => version === "v1" && standing === "serving")
            ),
    );
    const servicePorts = cluster.services.map(service => service.port);
    await submit(operatorPorts()[2]!, ticketFor(spec, { ticket: 12, servicePorts, version: "v2" }));
    await untilServing(operatorPorts(), "assistant", spec.replicasPerZone, 30_000);
    for (const status of await statuses()) {
        assert.ok(
            status.groups.filter(({ standing }) => standing === "serving").every(({ version }) => version === "v2"),
        );
    }
});

test("an older ticket does not bring it back", async () => {
    const withdrawal = Ticket.parse({ ticket: 9, author: "lab", remove: ["recalls/batch-9"] });
    const verdict = await submit(operatorPorts()[0]!, withdrawal);
    assert.is(verdict.kind, "overtaken");
    assert.is(verdict.kind === "overtaken" ? verdict.by : 0, 10);
});

const instancesOf = (status: Status): readonly string[] =>
    status.groups.flatMap(group => group.members.map(member => member.instance));

test.run();
