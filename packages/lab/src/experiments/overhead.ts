/**
 * What an entry instance adds to an engine's answer, and how many tokens it relays with one core.
 *
 * Latency: calls arrive by a Poisson process, and a toss sends each through the entry instance or straight to an engine, so
 * that all meet the same engines in the same state; a part goes through a bare pipe. Throughput: the entry instance and the
 * pipe are given more than they can relay, one after the other. Processor time is read in both parts, as a relay under
 * pressure takes many tokens with one read and a relay at ease does not.
 */
import { ServerInfo } from "@rattanquay/schema";
import { sleep, systemTimer } from "@rattanquay/timer";
import { build, type Histogram } from "hdr-histogram-js";
import { z } from "zod";
import { type ClusterSpec, defaultSpec, type ProcessCluster, startProcessCluster } from "../cluster";
import { control } from "../httpServer";
import { callChat, callFlood } from "../load";
import { targetHeader } from "../pipe";
import { seededRandom } from "../random";
import { type Experiment, parseExperimentArgs, printResult } from "./experiment";
import { processorSeconds } from "./processorTime";
import { pickPolicies } from "./servingRun";

/** What `--workload` may set. */
const Workload = z.strictObject({
    replicas: z.number().int().positive().default(4),
    /** Of the engines' capacity. */
    load: z.number().positive().max(1).default(0.6),
    tokensPerAnswer: z.number().int().min(2).default(64),
    shareThroughEntry: z.number().min(0).max(1).default(0.4),
    shareThroughPipe: z.number().min(0).max(1).default(0.4),
    throughputSeconds: z.number().positive().default(8),
    throughputStreams: z.number().int().positive().default(96),
});
type Workload = z.infer<typeof Workload>;

type Target = { readonly address: string; readonly port: number; readonly model: string };
type Place = { readonly port: number; readonly model: string; readonly headers?: Readonly<Record<string, string>> };
type Latency = {
    readonly firstToken: Histogram;
    readonly betweenTokens: Histogram;
    tokens: number;
    calls: number;
    failed: number;
};
type Way = "direct" | "entry" | "pipe";
type Latencies = Readonly<Record<Way, Latency>>;
type Relay = { readonly port: number; readonly child: { readonly pid?: number } };
type Relays = Readonly<Record<Exclude<Way, "direct">, Relay>>;
type Throughput = { readonly tokensPerSecond: number; readonly tokensPerCoreSecond: number; readonly cores: number };

const engine = { maxRunning: 32, stepBaseMs: 8, stepPerSequenceMs: 0.1, cachedPrefixes: 4_096 };
const defaultSeconds = 25;
const warmUpSeconds = 3;
const fullSpeedFactor = 0.02;
const floodTokens = 250;
const microsecondsPerMs = 1_000;

export const overhead: Experiment = async args => {
    const { seed, seconds = defaultSeconds, workload: given, policy = "chosen" } = parseExperimentArgs(args);
    const workload = Workload.parse(given ?? {});
    const cluster = await startProcessCluster({
        ...specFor(workload),
        settings: { policy: pickPolicies(policy)[0]![1] },
    });
    try {
        const targets = await findTargets(cluster);
        const pipe = await cluster.startLab("pipe", ["pipe", "--to", targets.map(({ address }) => address).join(",")]);
        const relays: Relays = { entry: cluster.entries[0]!, pipe };
        const processorBefore = processorOf(relays);
        const latency = await measureLatency(workload, relays, targets, seed, seconds);
        const processor = processorOf(relays);
        const paced = {
            entry: latency.entry.tokens / (processor.entry - processorBefore.entry),
            pipe: latency.pipe.tokens / (processor.pipe - processorBefore.pipe),
        };
        await Promise.all(targets.map(({ port }) => control(port, "/lab/fault", { slowFactor: fullSpeedFactor })));
        const relayed = await measureThroughput(workload, relays.entry, () => ({ model: "assistant" }));
        const piped = await measureThroughput(workload, pipe, index => pipedTo(targets, index));
        printResult("overhead", seed, figures(latency, paced, { entry: relayed, pipe: piped }));
    }
    finally {
        await cluster.stop();
    }
    return 0;
};

function specFor({ replicas }: Workload): ClusterSpec {
    return {
        ...defaultSpec,
        zones: 1,
        entriesPerZone: 1,
        instancesPerDomain: replicas,
        replicasPerZone: replicas,
        groupSize: 1,
        concurrency: engine.maxRunning,
        engine,
    };
}

async function findTargets({ engines }: ProcessCluster): Promise<readonly Target[]> {
    return Promise.all(engines.map(async ({ port }) => {
        const response = await fetch(`http://127.0.0.1:${port}/server_info`);
        const { group } = ServerInfo.parse(await response.json());
        return { address: `127.0.0.1:${port}`, port, model: group ?? "" };
    }));
}

function processorOf({ entry, pipe }: Relays): { readonly entry: number; readonly pipe: number } {
    return { entry: processorSeconds(entry.child.pid!), pipe: processorSeconds(pipe.child.pid!) };
}

function pipedTo(targets: readonly Target[], index: number): Omit<Place, "port"> {
    const target = index % targets.length;
    return { model: targets[target]!.model, headers: { [targetHeader]: String(target) } };
}

async function measureLatency(
    workload: Workload,
    relays: Relays,
    targets: readonly Target[],
    seed: number,
    seconds: number,
): Promise<Latencies> {
    const random = seededRandom(seed);
    const latencies: Latencies = { direct: makeLatency(), entry: makeLatency(), pipe: makeLatency() };
    const places: Readonly<Record<Way, (target: number) => Place>> = {
        direct: target => targets[target]!,
        entry: () => ({ port: relays.entry.port, model: "assistant" }),
        pipe: target => ({ port: relays.pipe.port, ...pipedTo(targets, target) }),
    };
    const running: Promise<void>[] = [];
    const startMs = systemTimer.nowMs();
    const gapMs = 1_000 / arrivalsPerSecond(workload);
    let dueMs = 0;
    for (let index = 0; dueMs < (seconds + warmUpSeconds) * 1_000; index++) {
        dueMs += -Math.log(1 - random()) * gapMs;
        const way = tossWay(workload, random());
        const place = places[way](Math.floor(random() * targets.length));
        await sleep(systemTimer, Math.max(0, startMs + dueMs - systemTimer.nowMs()));
        const isWarm = dueMs >= warmUpSeconds * 1_000;
        running.push(
            measureCall(place, `Heater ${index} stays cold.`, workload.tokensPerAnswer, latencies[way], isWarm),
        );
    }
    await Promise.all(running);
    return latencies;
}

function tossWay({ shareThroughEntry, shareThroughPipe }: Workload, toss: number): Way {
    if (toss < shareThroughEntry) {
        return "entry";
    }
    return toss < shareThroughEntry + shareThroughPipe ? "pipe" : "direct";
}

/** A running sequence gets one token a step, and a step grows with the batch. */
function arrivalsPerSecond({ replicas, load, tokensPerAnswer }: Workload): number {
    const { maxRunning, stepBaseMs, stepPerSequenceMs } = engine;
    const tokensPerSecond = 1_000 * maxRunning / (stepBaseMs + stepPerSequenceMs * maxRunning);
    return load * replicas * tokensPerSecond / tokensPerAnswer;
}

function makeLatency(): Latency {
    return { firstToken: build(), betweenTokens: build(), tokens: 0, calls: 0, failed: 0 };
}

async function measureCall(
    place: Place,
    content: string,
    maxTokens: number,
    sink: Latency,
    isWarm: boolean,
): Promise<void> {
    const startMs = systemTimer.nowMs();
    let lastMs = startMs;
    const result = await callChat({
        ...place,
        messages: [{ role: "user", content }],
        maxTokens,
        onToken: index => {
            const nowMs = systemTimer.nowMs();
            if (isWarm) {
                const histogram = index === 1 ? sink.firstToken : sink.betweenTokens;
                histogram.recordValue(Math.round((nowMs - lastMs) * microsecondsPerMs));
            }
            lastMs = nowMs;
        },
    });
    sink.calls++;
    sink.tokens += result.tokens;
    sink.failed += result.whole && result.tokens === maxTokens ? 0 : 1;
}

async function measureThroughput(
    { throughputSeconds, throughputStreams }: Workload,
    relay: Relay,
    placeOf: (index: number) => Omit<Place, "port">,
): Promise<Throughput> {
    let open = true;
    let events = 0;
    const flood = async (index: number): Promise<void> => {
        for (let turn = 0; open; turn++) {
            const status = await callFlood({
                ...placeOf(index),
                port: relay.port,
                maxTokens: floodTokens,
                prompt: `Stream ${index}, turn ${turn}.`,
                onEvents: count => {
                    events += count;
                },
            });
            await sleep(systemTimer, status === 200 ? 0 : 20);
        }
    };
    const streams = Array.from({ length: throughputStreams }, (unused, index) => flood(index));
    await sleep(systemTimer, 1_000);
    const before = { atMs: systemTimer.nowMs(), processor: processorSeconds(relay.child.pid!), events };
    await sleep(systemTimer, throughputSeconds * 1_000);
    const seconds = (systemTimer.nowMs() - before.atMs) / 1_000;
    const processor = processorSeconds(relay.child.pid!) - before.processor;
    const tokens = events - before.events;
    open = false;
    await Promise.all(streams);
    return {
        tokensPerSecond: tokens / seconds,
        tokensPerCoreSecond: tokens / processor,
        cores: processor / seconds,
    };
}

function figures(
    latencies: Latencies,
    paced: Readonly<Record<keyof Relays, number>>,
    flooded: Readonly<Record<keyof Relays, Throughput>>,
) {
    const relayFigures = (way: keyof Relays) => ({
        ...latencyFigures(latencies[way]),
        addedFirstTokenP50Ms: added(latencies, way, 50),
        addedFirstTokenP99Ms: added(latencies, way, 99),
        atEaseTokensPerCoreSecond: Math.round(paced[way]),
        ...throughputFigures(flooded[way]),
    });
    return {
        direct: latencyFigures(latencies.direct),
        entry: relayFigures("entry"),
        pipe: relayFigures("pipe"),
    };
}

function added(latencies: Latencies, way: keyof Relays, percentile: number): number {
    return round(atMs(latencies[way].firstToken, percentile) - atMs(latencies.direct.firstToken, percentile));
}

function latencyFigures({ firstToken, betweenTokens, calls, failed }: Latency) {
    return {
        firstTokenP50Ms: round(atMs(firstToken, 50)),
        firstTokenP99Ms: round(atMs(firstToken, 99)),
        betweenTokensP50Ms: round(atMs(betweenTokens, 50)),
        betweenTokensP99Ms: round(atMs(betweenTokens, 99)),
        answersCount: calls,
        failedCount: failed,
    };
}

function throughputFigures({ tokensPerSecond, tokensPerCoreSecond, cores }: Throughput) {
    return {
        tokensPerSecond: Math.round(tokensPerSecond),
        tokensPerCoreSecond: Math.round(tokensPerCoreSecond),
        usedCores: round(cores),
    };
}

const atMs = (histogram: Histogram, percentile: number): number =>
    histogram.getValueAtPercentile(percentile) / microsecondsPerMs;

const round = (value: number): number => Math.round(value * 1_000) / 1_000;
