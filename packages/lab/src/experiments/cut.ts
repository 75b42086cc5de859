/**
 * Measures the outcomes of calls in each zone before, during and after a network partition: of one zone from the
 * others, of all zones from the platform, and of one zone from both. Calls arrive as a Poisson process at random entry
 * instances of all zones.
 */
import { sleep, systemTimer } from "@rattanquay/timer";
import { build, type Histogram } from "hdr-histogram-js";
import {
    callOperatorApi,
    type ClusterSpec,
    defaultSpec,
    type ProcessCluster,
    startProcessCluster,
    submit,
    ticketFor,
    waitUntil,
    zoneNames,
} from "../cluster";
import { type Connectivity, platformLocation } from "../link";
import { callChat } from "../load";
import { seededRandom } from "../random";
import { type Experiment, type Figures, parseExperimentArgs, printResult } from "./experiment";

const isolatedZone = zoneNames[0];
const exceptIsolatedZoneLinks: Connectivity = (from, to) =>
    from === platformLocation || to === platformLocation || !(from === isolatedZone || to === isolatedZone);
const exceptPlatformLinks: Connectivity = (from, to) => from !== platformLocation && to !== platformLocation;

const partitions: Readonly<Record<string, Connectivity>> = {
    zoneCut: exceptIsolatedZoneLinks,
    platformOutage: exceptPlatformLinks,
    both: (from, to) => from !== isolatedZone && to !== isolatedZone,
};

const phases = ["before", "during", "after"] as const;
type Phase = typeof phases[number];
type Tally = {
    calls: number;
    answered: number;
    refused: number;
    failed: number;
    readonly firstToken: Histogram;
    /** The error codes of calls without a complete answer, with their counts. */
    readonly errorCodes: Map<string, number>;
};
type Tallies = Map<string, Tally>;

const spec: ClusterSpec = { ...defaultSpec, zones: 3, entriesPerZone: 2, replicasPerZone: 2, cuttable: true };
const defaultPartitionSeconds = 20;
const beforeAndAfterSeconds = 8;
const callsPerZoneAndSecond = 10;
const tokens = 20;
const convergeTimeoutMs = 30_000;

export const cut: Experiment = async args => {
    const { seed, seconds = defaultPartitionSeconds, policy } = parseExperimentArgs(args);
    const figures: Record<string, Record<string, number>> = {};
    for (
        const [name, isConnected] of Object.entries(partitions).filter(([name]) =>
            policy === undefined || policy === name
        )
    ) {
        const cluster = await startProcessCluster(spec);
        try {
            figures[name] = await runPartition(cluster, isConnected, seed, seconds);
            process.stdout.write(`${name} ${JSON.stringify(figures[name])}\n`);
        }
        finally {
            await cluster.stop();
        }
    }
    printResult("cut", seed, figures as Figures);
    return 0;
};

async function runPartition(
    cluster: ProcessCluster,
    isConnected: Connectivity,
    seed: number,
    partitionSeconds: number,
) {
    const tallies: Tallies = new Map(
        zoneNames.flatMap(zone => phases.map(phase => [`${zone}.${phase}`, makeTally()] as const)),
    );
    const random = seededRandom(seed);
    let phase: Phase = "before";
    const load = sendCalls(cluster, random, tallies, () => phase, 2 * beforeAndAfterSeconds + partitionSeconds);
    await sleep(systemTimer, beforeAndAfterSeconds * 1_000);
    phase = "during";
    cluster.network!.setConnectivity(isConnected);
    const submission = submitDuringPartition(cluster);
    await sleep(systemTimer, partitionSeconds * 1_000);
    cluster.network!.heal();
    phase = "after";
    const healedAtMs = systemTimer.nowMs();
    const convergedMs = await submission ? await waitUntilInForce(cluster, 2) - healedAtMs : undefined;
    await load;
    for (const [name, { errorCodes }] of [...tallies].filter(([, tally]) => tally.errorCodes.size > 0)) {
        process.stdout.write(`${name} without a complete answer: ${JSON.stringify(Object.fromEntries(errorCodes))}\n`);
    }
    return { ...figuresOf(tallies), ...(convergedMs === undefined ? {} : { convergedMs: Math.round(convergedMs) }) };
}

/** Submits a ticket in a zone that is not isolated. It cannot be accepted while the platform is unreachable. */
async function submitDuringPartition(cluster: ProcessCluster): Promise<boolean> {
    const entry = cluster.entries.find(({ availabilityZone }) => availabilityZone !== isolatedZone)!;
    const servicePorts = cluster.services.map(service => service.port);
    const verdict = await submit(entry.ports.operators, ticketFor(spec, { ticket: 2, servicePorts }))
        .catch(() => undefined);
    return verdict?.kind === "accepted";
}

/** Waits until every process itself reports the revision in force, and resolves to the time then. */
async function waitUntilInForce(cluster: ProcessCluster, revision: number): Promise<number> {
    type Status = { readonly config: { readonly revision: number } };
    await waitUntil(`revision ${revision} to be in force everywhere`, convergeTimeoutMs, async () => {
        const all = await Promise.all(
            cluster.entries.map(({ ports }) => callOperatorApi(ports.operators, "/v1/status")),
        );
        return all.every(status => (status as Status).config.revision >= revision);
    });
    return systemTimer.nowMs();
}

async function sendCalls(
    cluster: ProcessCluster,
    random: () => number,
    tallies: Tallies,
    currentPhase: () => Phase,
    seconds: number,
): Promise<void> {
    const running: Promise<void>[] = [];
    const startMs = systemTimer.nowMs();
    let dueMs = 0;
    for (let index = 0; dueMs < seconds * 1_000; index++) {
        dueMs += -Math.log(1 - random()) * 1_000 / (callsPerZoneAndSecond * zoneNames.length);
        const entry = cluster.entries[Math.floor(random() * cluster.entries.length)]!;
        await sleep(systemTimer, Math.max(0, startMs + dueMs - systemTimer.nowMs()));
        const tally = tallies.get(`${entry.availabilityZone}.${currentPhase()}`)!;
        running.push(sendCall(entry.port, index, tally));
    }
    await Promise.all(running);
}

async function sendCall(port: number, index: number, tally: Tally): Promise<void> {
    const messages = [{ role: "user", content: `Dropper ${index} is frayed.` }];
    const { whole, status, errorCode, firstTokenMs } = await callChat({ port, messages, maxTokens: tokens });
    tally.calls++;
    tally.answered += whole ? 1 : 0;
    tally.refused += status === 429 || status === 503 ? 1 : 0;
    tally.failed += whole || status === 429 || status === 503 ? 0 : 1;
    if (!whole) {
        const code = errorCode ?? `status${status}`;
        tally.errorCodes.set(code, (tally.errorCodes.get(code) ?? 0) + 1);
    }
    if (firstTokenMs !== undefined) {
        tally.firstToken.recordValue(Math.round(firstTokenMs));
    }
}

function makeTally(): Tally {
    return { calls: 0, answered: 0, refused: 0, failed: 0, firstToken: build(), errorCodes: new Map() };
}

function figuresOf(tallies: Tallies): Record<string, number> {
    return Object.fromEntries([...tallies].flatMap(([name, { calls, answered, refused, failed, firstToken }]) => [
        [`${name}.calls`, calls],
        [`${name}.successShare`, calls === 0 ? 0 : answered / calls],
        [`${name}.refusedCalls`, refused],
        [`${name}.failedCalls`, failed],
        [`${name}.firstTokenP50Ms`, firstToken.getValueAtPercentile(50)],
        [`${name}.firstTokenP95Ms`, firstToken.getValueAtPercentile(95)],
    ]));
}
