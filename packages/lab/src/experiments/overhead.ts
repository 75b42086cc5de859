/**
 * Measures the latency that an entry instance adds to an engine's answer and the tokens that it relays per core.
 *
 * Latency: calls arrive as a Poisson process, and each goes at random through the entry instance, through a plain proxy
 * (the pipe) or directly to an engine, so that all paths use the same engines in the same state. Throughput: the entry
 * instance and the pipe are saturated one after the other. Processor time is measured in both parts, because a
 * saturated relay reads many tokens at once and a relay under normal load does not.
 */
import { ServerInfo } from "@rattanquay/schema";
import { sleep, systemTimer } from "@rattanquay/timer";
import { build, type Histogram } from "hdr-histogram-js";
import { z } from "zod";
import { type ClusterSpec, defaultSpec, type ProcessCluster, startProcessCluster } from "../cluster";
import { postControl } from "../httpServer";
import { callChat, callCountingEvents } from "../load";
import { targetIndexHeader } from "../pipe";
import { seededRandom } from "../random";
import { type Experiment, parseExperimentArgs, printResult } from "./experiment";
import { processorSeconds } from "./processorTime";
import { selectPolicies } from "./testbed";

/** The values that `--workload` can set. */
const Workload = z.strictObject({
    replicas: z.number().int().positive().default(4),
    /** The offered load as a share of the engines' capacity. */
    load: z.number().positive().max(1).default(0.6),
    tokensPerAnswer: z.number().int().min(2).default(64),
    shareThroughEntry: z.number().min(0).max(1).default(0.4),
    shareThroughPipe: z.number().min(0).max(1).default(0.4),
    throughputSeconds: z.number().positive().default(8),
    throughputStreams: z.number().int().positive().default(96),
});
type Workload = z.infer<typeof Workload>;

type Target = { readonly address: string; readonly port: number; readonly model: string };
type Destination = {
    readonly port: number;
    readonly model: string;
    readonly headers?: Readonly<Record<string, string>>;
};
type Latency = {
    readonly firstToken: Histogram;
    readonly betweenTokens: Histogram;
    tokens: number;
    calls: number;
    failed: number;
};
type CallPath = "direct" | "entry" | "pipe";
type LatenciesByPath = Readonly<Record<CallPath, Latency>>;
type Relay = { readonly port: number; readonly child: { readonly pid?: number } };
type Relays = Readonly<Record<Exclude<CallPath, "direct">, Relay>>;
type Throughput = { readonly tokensPerSecond: number; readonly tokensPerCoreSecond: number; readonly cores: number };

const engine = { maxRunning: 32, stepBaseMs: 8, stepPerSequenceMs: 0.1, cachedPrefixes: 4_096 };
const defaultSeconds = 25;
const warmUpSeconds = 3;
/** Makes the engines fifty times as fast, so that the relay is the bottleneck. */
const unthrottledSlowFactor = 0.02;
const throughputCallTokens = 250;
const microsecondsPerMs = 1_000;

export const overhead: Experiment = async args => {
    const { seed, seconds = defaultSeconds, workload: given, policy = "chosen" } = parseExperimentArgs(args);
    const workload = Workload.parse(given ?? {});
    const cluster = await startProcessCluster({
        ...clusterSpecFor(workload),
        settings: { policy: selectPolicies(policy)[0]![1] },
    });
    try {
        const targets = await findTargets(cluster);
        const pipe = await cluster.startLab("pipe", ["pipe", "--to", targets.map(({ address }) => address).join(",")]);
        const relays: Relays = { entry: cluster.entries[0]!, pipe };
        const processorBefore = readProcessorSeconds(relays);
        const latency = await measureLatency(workload, relays, targets, seed, seconds);
        const processor = readProcessorSeconds(relays);
        const atEaseThroughput = {
            entry: latency.entry.tokens / (processor.entry - processorBefore.entry),
            pipe: latency.pipe.tokens / (processor.pipe - processorBefore.pipe),
        };
        await Promise.all(
            targets.map(({ port }) => postControl(port, "/lab/fault", { slowFactor: unthrottledSlowFactor })),
        );
        const relayed = await measureThroughput(workload, relays.entry, () => ({ model: "assistant" }));
        const piped = await measureThroughput(workload, pipe, index => pipeDestination(targets, index));
        printResult("overhead", seed, figures(latency, atEaseThroughput, { entry: relayed, pipe: piped }));
    }
    finally {
        await cluster.stop();
    }
    return 0;
};

function clusterSpecFor({ replicas }: Workload): ClusterSpec {
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

function readProcessorSeconds({ entry, pipe }: Relays): { readonly entry: number; readonly pipe: number } {
    return { entry: processorSeconds(entry.child.pid!), pipe: processorSeconds(pipe.child.pid!) };
}

function pipeDestination(targets: readonly Target[], index: number): Omit<Destination, "port"> {
    const target = index % targets.length;
    return { model: targets[target]!.model, headers: { [targetIndexHeader]: String(target) } };
}

async function measureLatency(
    workload: Workload,
    relays: Relays,
    targets: readonly Target[],
    seed: number,
    seconds: number,
): Promise<LatenciesByPath> {
    const random = seededRandom(seed);
    const latencies: LatenciesByPath = { direct: makeLatency(), entry: makeLatency(), pipe: makeLatency() };
    const destinations: Readonly<Record<CallPath, (target: number) => Destination>> = {
        direct: target => targets[target]!,
        entry: () => ({ port: relays.entry.port, model: "assistant" }),
        pipe: target => ({ port: relays.pipe.port, ...pipeDestination(targets, target) }),
    };
    const running: Promise<void>[] = [];
    const startMs = systemTimer.nowMs();
    const gapMs = 1_000 / arrivalsPerSecond(workload);
    let dueMs = 0;
    for (let index = 0; dueMs < (seconds + warmUpSeconds) * 1_000; index++) {
        dueMs += -Math.log(1 - random()) * gapMs;
        const path = chooseCallPath(workload, random());
        const destination = destinations[path](Math.floor(random() * targets.length));
        await sleep(systemTimer, Math.max(0, startMs + dueMs - systemTimer.nowMs()));
        const isMeasured = dueMs >= warmUpSeconds * 1_000;
        running.push(
            measureCall(
                destination,
                `Heater ${index} stays cold.`,
                workload.tokensPerAnswer,
                latencies[path],
                isMeasured,
            ),
        );
    }
    await Promise.all(running);
    return latencies;
}

function chooseCallPath({ shareThroughEntry, shareThroughPipe }: Workload, sample: number): CallPath {
    if (sample < shareThroughEntry) {
        return "entry";
    }
    return sample < shareThroughEntry + shareThroughPipe ? "pipe" : "direct";
}

/** Each running sequence gets one token per step, and the duration of a step grows with the batch size. */
function arrivalsPerSecond({ replicas, load, tokensPerAnswer }: Workload): number {
    const { maxRunning, stepBaseMs, stepPerSequenceMs } = engine;
    const tokensPerSecond = 1_000 * maxRunning / (stepBaseMs + stepPerSequenceMs * maxRunning);
    return load * replicas * tokensPerSecond / tokensPerAnswer;
}

function makeLatency(): Latency {
    return { firstToken: build(), betweenTokens: build(), tokens: 0, calls: 0, failed: 0 };
}

async function measureCall(
    destination: Destination,
    content: string,
    maxTokens: number,
    latency: Latency,
    isMeasured: boolean,
): Promise<void> {
    const startMs = systemTimer.nowMs();
    let lastMs = startMs;
    const result = await callChat({
        ...destination,
        messages: [{ role: "user", content }],
        maxTokens,
        onToken: index => {
            const nowMs = systemTimer.nowMs();
            if (isMeasured) {
                const histogram = index === 1 ? latency.firstToken : latency.betweenTokens;
                histogram.recordValue(Math.round((nowMs - lastMs) * microsecondsPerMs));
            }
            lastMs = nowMs;
        },
    });
    latency.calls++;
    latency.tokens += result.tokens;
    latency.failed += result.whole && result.tokens === maxTokens ? 0 : 1;
}

async function measureThroughput(
    { throughputSeconds, throughputStreams }: Workload,
    relay: Relay,
    destinationOf: (index: number) => Omit<Destination, "port">,
): Promise<Throughput> {
    let open = true;
    let events = 0;
    const streamRepeatedly = async (index: number): Promise<void> => {
        for (let repetition = 0; open; repetition++) {
            const status = await callCountingEvents({
                ...destinationOf(index),
                port: relay.port,
                maxTokens: throughputCallTokens,
                prompt: `Stream ${index}, turn ${repetition}.`,
                onEvents: count => {
                    events += count;
                },
            });
            await sleep(systemTimer, status === 200 ? 0 : 20);
        }
    };
    const streams = Array.from({ length: throughputStreams }, (unused, index) => streamRepeatedly(index));
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
    latencies: LatenciesByPath,
    atEaseThroughput: Readonly<Record<keyof Relays, number>>,
    saturated: Readonly<Record<keyof Relays, Throughput>>,
) {
    const relayFigures = (path: keyof Relays) => ({
        ...latencyFigures(latencies[path]),
        addedFirstTokenP50Ms: addedFirstTokenMs(latencies, path, 50),
        addedFirstTokenP99Ms: addedFirstTokenMs(latencies, path, 99),
        atEaseTokensPerCoreSecond: Math.round(atEaseThroughput[path]),
        ...throughputFigures(saturated[path]),
    });
    return {
        direct: latencyFigures(latencies.direct),
        entry: relayFigures("entry"),
        pipe: relayFigures("pipe"),
    };
}

function addedFirstTokenMs(latencies: LatenciesByPath, path: keyof Relays, percentile: number): number {
    return round(
        percentileMs(latencies[path].firstToken, percentile) - percentileMs(latencies.direct.firstToken, percentile),
    );
}

function latencyFigures({ firstToken, betweenTokens, calls, failed }: Latency) {
    return {
        firstTokenP50Ms: round(percentileMs(firstToken, 50)),
        firstTokenP99Ms: round(percentileMs(firstToken, 99)),
        betweenTokensP50Ms: round(percentileMs(betweenTokens, 50)),
        betweenTokensP99Ms: round(percentileMs(betweenTokens, 99)),
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

const percentileMs = (histogram: Histogram, percentile: number): number =>
    histogram.getValueAtPercentile(percentile) / microsecondsPerMs;

const round = (value: number): number => Math.round(value * 1_000) / 1_000;
