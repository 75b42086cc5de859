/** Recalls through separate processes, with the platform unavailable and entry instances restarted. */
import { Ticket } from "@rattanquay/schema";
import { sleep, systemTimer } from "@rattanquay/timer";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
    callOperatorApi,
    defaultSpec,
    type ProcessCluster,
    startProcessCluster,
    submit,
    ticketFor,
    waitUntil,
    waitUntilServing,
} from "../cluster";
import { callChat, type CallResult } from "../load";

type Group = {
    readonly group: string;
    readonly version: string;
    readonly standing: string;
    readonly members: readonly { readonly instance: string }[];
};
type Status = { readonly config: { readonly revision: number }; readonly groups: readonly Group[] };
type Execution = { readonly group: string; readonly requestId: string };

const spec = {
    ...defaultSpec,
    zones: 1,
    entriesPerZone: 3,
    instancesPerDomain: 6,
    replicasPerZone: 2,
    engine: { memberTimeoutMs: 5_000 },
};
const messages = [{ role: "user", content: "Heater 7 leaks at the flange." }];
const inForceTimeoutMs = 3_000;
const noNewWorkAfterMs = 3_000;
let cluster: ProcessCluster;

const operatorPorts = (): readonly number[] => cluster.entries.map(entry => entry.ports.operators);
const statuses = (): Promise<readonly Status[]> =>
    Promise.all(operatorPorts().map(async port => await callOperatorApi(port, "/v1/status") as Status));
const setPlatformFault = (fault: object): Promise<unknown> =>
    fetch(`http://127.0.0.1:${cluster.platform.port}/lab/fault`, { method: "POST", body: JSON.stringify(fault) })
        .then(response => response.text());

async function executionsOn(instance: string): Promise<readonly Execution[]> {
    const engine = cluster.engines.find(({ name }) => name === instance)!;
    return await (await fetch(`http://127.0.0.1:${engine.port}/lab/executions`)).json() as readonly Execution[];
}

const instanceRecall = (ticket: number, instances: readonly string[]): Ticket =>
    Ticket.parse({ ticket, author: "lab", recalls: { "batch-9": { kind: "instances", instances } } });

const versionRecall = (ticket: number): Ticket =>
    Ticket.parse({
        ticket,
        author: "lab",
        recalls: { "stand-in-v1": { kind: "version", model: "stand-in", version: "v1" } },
    });

const callEntry = (index: number, length: number): Promise<CallResult> =>
    callChat({ port: cluster.entries[index % cluster.entries.length]!.port, messages, maxTokens: length, length });

/** Calls every entry instance in a loop until stopped; `stop` resolves to all results. */
function startCallLoops(): { readonly stop: () => Promise<readonly CallResult[]> } {
    let isCalling = true;
    const loops = cluster.entries.map(async (unused, index) => {
        const results: CallResult[] = [];
        while (isCalling && results.length < 2_000) {
            results.push(await callEntry(index, 8));
        }
        return results;
    });
    return {
        stop: async () => {
            isCalling = false;
            return (await Promise.all(loops)).flat();
        },
    };
}

let recalledInstance: string;

test.before(async () => {
    cluster = await startProcessCluster(spec);
});

test.after(() => cluster.stop());

test("a recall takes effect within seconds and interrupts no call, though the platform fails right away", async () => {
    const [{ groups }] = await statuses() as [Status];
    recalledInstance = groups[0]!.members[0]!.instance;
    const longCalls = Array.from({ length: 6 }, (unused, index) => callEntry(index, 500));
    const shortCalls = startCallLoops();
    await sleep(systemTimer, 300);
    const verdict = await submit(operatorPorts()[0]!, instanceRecall(10, [recalledInstance]));
    await setPlatformFault({ down: true });
    assert.is(verdict.kind, "accepted");
    const revision = verdict.kind === "accepted" ? verdict.revision : 0;
    await waitUntil(
        "the recall to be in force everywhere",
        inForceTimeoutMs,
        async () => (await statuses()).every(status => status.config.revision >= revision),
    );
    await sleep(systemTimer, noNewWorkAfterMs);
    const before = (await executionsOn(recalledInstance)).length;
    await sleep(systemTimer, 1_000);
    assert.is((await executionsOn(recalledInstance)).length, before, "a recalled instance got new work");
    await setPlatformFault({ down: false });
    const results = [...await shortCalls.stop(), ...await Promise.all(longCalls)];
    assert.equal(results.filter(result => !result.whole).map(result => result.errorCode), []);
    await waitUntilServing(operatorPorts(), "assistant", spec.replicasPerZone, 20_000);
    await waitUntil(
        "the recalled instance to be in no group",
        20_000,
        async () => (await statuses()).every(status => !instancesOf(status).includes(recalledInstance)),
    );
});

test("a recall still holds after every entry instance is killed and restarted", async () => {
    const names = cluster.entries.map(entry => entry.name);
    cluster.entries.forEach(entry => entry.child.kill("SIGKILL"));
    await Promise.all(names.map(name => cluster.restartEntry(name)));
    await waitUntilServing(operatorPorts(), "assistant", spec.replicasPerZone, 30_000);
    for (const status of await statuses()) {
        assert.not(instancesOf(status).includes(recalledInstance));
    }
    const before = (await executionsOn(recalledInstance)).length;
    await Promise.all(Array.from({ length: 12 }, (unused, index) => callEntry(index, 5)));
    assert.is((await executionsOn(recalledInstance)).length, before);
});

test("a recalled version stops serving everywhere, and the next declared version replaces it", async () => {
    await submit(operatorPorts()[1]!, versionRecall(11));
    await waitUntil(
        "no group of the recalled version to serve",
        inForceTimeoutMs,
        async () =>
            (await statuses()).every(status =>
                !status.groups.some(({ version, standing }) => version === "v1" && standing === "serving")
            ),
    );
    const servicePorts = cluster.services.map(service => service.port);
    await submit(operatorPorts()[2]!, ticketFor(spec, { ticket: 12, servicePorts, version: "v2" }));
    await waitUntilServing(operatorPorts(), "assistant", spec.replicasPerZone, 30_000);
    for (const status of await statuses()) {
        assert.ok(
            status.groups.filter(({ standing }) => standing === "serving").every(({ version }) => version === "v2"),
        );
    }
});

test("an older ticket cannot withdraw a recall", async () => {
    const withdrawal = Ticket.parse({ ticket: 9, author: "lab", remove: ["recalls/batch-9"] });
    const verdict = await submit(operatorPorts()[0]!, withdrawal);
    assert.is(verdict.kind, "overtaken");
    assert.is(verdict.kind === "overtaken" ? verdict.by : 0, 10);
});

const instancesOf = (status: Status): readonly string[] =>
    status.groups.flatMap(group => group.members.map(member => member.instance));

test.run();
