/** Partitions between zones and from the platform, with entry instances replaced meanwhile, in separate processes. */
import { sleep, systemTimer } from "@rattanquay/timer";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
    callOperatorApi,
    countServingReplicas,
    defaultSpec,
    type ProcessCluster,
    startProcessCluster,
    submit,
    ticketFor,
    waitUntil,
} from "../cluster";
import { checkHistory, readExecutions } from "../history";
import { type Connectivity, platformLocation } from "../link";
import { callChat, type CallResult, makeRecorder } from "../load";

let cluster: ProcessCluster;
/** On a busy test machine a process may pause for a second, which must not be taken for a partition. */
const settings = { intervals: { evidenceMaxAgeMs: 2_000 } };
const spec = { ...defaultSpec, entriesPerZone: 3, replicasPerZone: 2, cuttable: true, journals: true, settings };
const messages = [{ role: "user", content: "Insulator 4 at mast 90 is cracked." }];
const waitTimeoutMs = 15_000;

const isolateZoneA: Connectivity = (from, to) => from !== "zone-a" && to !== "zone-a";
const isolatePlatform: Connectivity = (from, to) => from !== platformLocation && to !== platformLocation;

type TicketStatus = { readonly inForce: string[]; readonly notYet: string[]; readonly notAsked: string[] };
type Status = {
    readonly config: { readonly revision: number };
    readonly peers: readonly { readonly process: string; readonly state: string; readonly hearsUs: boolean }[];
};

const entriesOf = (zone: string) => cluster.entries.filter(entry => entry.availabilityZone === zone);
const ticketStatus = async (port: number, ticket: number) =>
    await callOperatorApi(port, `/v1/tickets/${ticket}/status`) as TicketStatus;
const statusOf = async (port: number) => await callOperatorApi(port, "/v1/status") as Status;
const call = (port: number): Promise<CallResult> => callChat({ port, messages, maxTokens: 5 });
const failureCodes = (results: readonly CallResult[]) =>
    results.filter(result => !result.whole).map(result => result.errorCode);
const submitTo = (port: number, ticket: number) =>
    submit(port, ticketFor(spec, { ticket, servicePorts: cluster.services.map(service => service.port) }));
const isReady = async (port: number): Promise<boolean> =>
    (await fetch(`http://127.0.0.1:${port}/readyz`).catch(() => undefined))?.status === 200;

async function callFor(durationMs: number, ports: () => readonly number[]): Promise<readonly CallResult[]> {
    const calls: Promise<CallResult>[] = [];
    const endsAtMs = systemTimer.nowMs() + durationMs;
    while (systemTimer.nowMs() < endsAtMs) {
        calls.push(...ports().map(call));
        await sleep(systemTimer, 100);
    }
    return Promise.all(calls);
}

/** Returns the engines of the first group of a zone. */
async function firstGroupEngines(zone: string) {
    type Groups = { readonly groups: readonly { readonly members: readonly { readonly instance: string }[] }[] };
    const { groups } = await callOperatorApi(entriesOf(zone)[0]!.ports.operators, "/v1/status") as Groups;
    const members = groups[0]!.members.map(member => member.instance);
    return cluster.engines.filter(engine => members.includes(engine.name));
}

/** Counts the upstream attempts of all entry instances of a zone that did not end with a complete response. */
async function failedAttempts(zone: string): Promise<number> {
    const pages = await Promise.all(
        entriesOf(zone).map(async ({ ports }) => (await fetch(`http://127.0.0.1:${ports.operators}/metrics`)).text()),
    );
    const lines = pages.flatMap(page => page.split("\n").filter(line => line.startsWith("rattanquay_attempts_total{")));
    return lines.filter(line => !line.includes('result="whole"'))
        .reduce((sum, line) => sum + Number(line.split(" ").at(-1)), 0);
}

async function untilLinked(): Promise<void> {
    await waitUntil("each entry instance to have live links to three peers", waitTimeoutMs, async () => {
        const all = await Promise.all(cluster.entries.map(entry => statusOf(entry.ports.operators)));
        return all.every(({ peers }) => peers.filter(peer => peer.state === "alive" && peer.hearsUs).length >= 3);
    });
}

test.before(async () => {
    cluster = await startProcessCluster(spec);
    await untilLinked();
});

test.after(() => cluster.stop());

test("ticket status lists every process, including those without a direct link", async () => {
    const processNames = cluster.entries.map(entry => entry.name).sort();
    for (const { ports } of cluster.entries) {
        await waitUntil(
            "ticket 1 in force everywhere",
            waitTimeoutMs,
            async () => (await ticketStatus(ports.operators, 1)).inForce.length === processNames.length,
        );
        assert.equal((await ticketStatus(ports.operators, 1)).inForce, processNames);
    }
});

test("an isolated zone serves from its own groups, and catches up when the partition heals", async () => {
    cluster.network!.setConnectivity(isolateZoneA);
    const [otherEntry] = entriesOf("zone-b");
    const results = callFor(6_000, () => entriesOf("zone-a").map(entry => entry.port));
    await sleep(systemTimer, 3_000);
    assert.is((await submitTo(otherEntry!.ports.operators, 2)).kind, "accepted");
    const during = await ticketStatus(otherEntry!.ports.operators, 2);
    assert.equal(during.inForce.filter(name => name.includes("zone-a")), []);
    assert.equal(failureCodes(await results), []);
    cluster.network!.heal();
    await waitUntil(
        "ticket 2 to be in force everywhere",
        waitTimeoutMs,
        async () => (await ticketStatus(otherEntry!.ports.operators, 2)).inForce.length === cluster.entries.length,
    );
});

test("a zone that can send but not receive keeps serving", async () => {
    cluster.network!.setConnectivity((from, to) => !(from !== "zone-a" && to === "zone-a"));
    const results = await callFor(3_000, () => entriesOf("zone-a").map(entry => entry.port));
    cluster.network!.heal();
    assert.equal(failureCodes(results), []);
    await untilLinked();
});

test("with the platform unreachable, a zone's entry instances are replaced in turn and no request fails", async () => {
    cluster.network!.setConnectivity(isolatePlatform);
    let ports = entriesOf("zone-a").map(entry => entry.port);
    let isReplacing = true;
    const results: Promise<CallResult>[] = [];
    const load = (async () => {
        while (isReplacing) {
            results.push(...ports.map(call));
            await sleep(systemTimer, 100);
        }
    })();
    for (const { name, port, child } of entriesOf("zone-a")) {
        ports = ports.filter(known => known !== port);
        const exited = new Promise(resolve => child.once("exit", resolve));
        child.kill("SIGTERM");
        await exited;
        await cluster.restartEntry(name);
        await waitUntil(`${name} to be ready without the platform`, waitTimeoutMs, () => isReady(port));
        const { ports: newPorts } = cluster.entries.find(entry => entry.name === name)!;
        await waitUntil(
            `${name} to serve`,
            waitTimeoutMs,
            async () => await countServingReplicas(newPorts.operators, "assistant") === 2,
        );
        ports = [...ports, port];
    }
    isReplacing = false;
    await load;
    assert.equal(failureCodes(await Promise.all(results)), []);
    const revisions = await Promise.all(entriesOf("zone-a").map(entry => statusOf(entry.ports.operators)));
    assert.equal(revisions.map(({ config }) => config.revision), [2, 2, 2]);
    cluster.network!.heal();
    assert.is((await submitTo(entriesOf("zone-a")[0]!.ports.operators, 3)).kind, "accepted");
});

test("a frozen upstream gets no new work after 3 s, even in an isolated zone", async () => {
    const engines = await firstGroupEngines("zone-a");
    cluster.network!.setConnectivity(isolateZoneA);
    engines.forEach(({ child }) => child.kill("SIGSTOP"));
    await sleep(systemTimer, 3_000);
    const failedBefore = await failedAttempts("zone-a");
    const results = await callFor(1_500, () => entriesOf("zone-a").map(entry => entry.port));
    assert.equal(failureCodes(results), []);
    assert.is(await failedAttempts("zone-a"), failedBefore);
    engines.forEach(({ child }) => child.kill("SIGCONT"));
    cluster.network!.heal();
});

test("a zone without instances forwards its requests to another zone, and rejects them when isolated", async () => {
    const lostEngines = cluster.engines.filter(engine => engine.name.startsWith("zone-a"));
    lostEngines.forEach(({ child }) => child.kill("SIGKILL"));
    const ports = entriesOf("zone-a").map(entry => entry.port);
    await waitUntil(
        "zone-a to have no replica",
        waitTimeoutMs,
        async () =>
            (await Promise.all(
                entriesOf("zone-a").map(entry => countServingReplicas(entry.ports.operators, "assistant")),
            ))
                .every(count => count === 0),
    );
    assert.equal(failureCodes(await Promise.all([...ports, ...ports].map(call))), []);
    cluster.network!.setConnectivity(isolateZoneA);
    await sleep(systemTimer, 4_000);
    const refused = await Promise.all(ports.map(call));
    assert.equal(refused.map(result => [result.status, result.errorCode]), ports.map(() => [503, "noReplica"]));
    cluster.network!.heal();
});

test("the history is consistent under spilled requests, partitions, a killed upstream and a frozen peer", async () => {
    const recorder = makeRecorder();
    const calls: Promise<void>[] = [];
    const [frozenEntry] = entriesOf("zone-b");
    const [killedEngine] = cluster.engines.filter(engine => engine.name.startsWith("zone-b"));
    const faults: Readonly<Record<number, () => unknown>> = {
        5: () => cluster.network!.setConnectivity(isolateZoneA),
        10: () => frozenEntry!.child.kill("SIGSTOP"),
        20: () => cluster.network!.heal(),
        25: () => frozenEntry!.child.kill("SIGCONT"),
        35: () => killedEngine!.child.kill("SIGKILL"),
        36: () => cluster.network!.setConnectivity(isolateZoneA),
        50: () => cluster.network!.setConnectivity(isolatePlatform),
        65: () => cluster.network!.heal(),
    };
    for (let step = 0; step < 80; step++) {
        faults[step]?.();
        cluster.entries.forEach(({ port, name }) => {
            const requestId = `history-${name}-${step}`;
            calls.push(recorder.chat({ port, call: `Wire ${requestId}`, requestId, tokens: 8, isStreamed: true }));
        });
        const { port } = cluster.entries[step % cluster.entries.length]!;
        const booking = { port, call: `visit-${step}`, requestId: `booking-${step}`, key: `visit-${step}` };
        calls.push(
            recorder.callAtMostOnce(booking),
            recorder.callAtMostOnce({ ...booking, requestId: `again-${step}` }),
        );
        await sleep(systemTimer, 100);
    }
    await Promise.all(calls);
    const executions = readExecutions(cluster.journals());
    const history = { requests: recorder.requests(), answers: recorder.answers(), executions };
    assert.equal(checkHistory(history), []);
    const spilledAnswers = history.answers.filter(answer => answer.requestId.includes("zone-a") && answer.isWhole);
    assert.ok(spilledAnswers.length > 0);
});

test.run();
