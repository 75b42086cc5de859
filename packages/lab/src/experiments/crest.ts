/** Overload: measures outcomes while demand is several times the capacity, and the time to recover afterwards. */
import { type CallRecord } from "../load";
import { rateAt, type ScheduledCall, Workload } from "../workload";
import { type Experiment, type Figures, parseExperimentArgs, printResult } from "./experiment";
import { arrivedBetween, defaultTargets, isRefused, meetsTargets, percentile, rounded } from "./statistics";
import {
    capacityOf,
    type Policy,
    scheduleFor,
    selectPolicies,
    startTestbed,
    type Testbed,
    type TestbedSpec,
} from "./testbed";

/**
 * The declared concurrency is about twice what the engines can run within the latency target, as an operator might
 * declare it.
 */
const testbedSpec: TestbedSpec = {
    entries: 4,
    replicas: 4,
    concurrency: 64,
    engine: { maxRunning: 64, stepBaseMs: 16, stepPerSequenceMs: 1, prefillTokensPerMs: 20 },
    longFromTokens: 512,
};

/**
 * Demand rises from half to three times the capacity within two seconds, stays there for twenty seconds and falls back.
 */
const defaultWorkload = {
    arrivals: [
        { atSeconds: 0, shareOfCapacity: 0.5 },
        { atSeconds: 8, shareOfCapacity: 0.5 },
        { atSeconds: 10, shareOfCapacity: 3 },
        { atSeconds: 30, shareOfCapacity: 3 },
        { atSeconds: 31, shareOfCapacity: 0.5 },
    ],
    kinds: {
        diagnosis: {
            weight: 1,
            answerTokens: { kind: "uniform", from: 10, to: 30 },
            maxTokens: 256,
            systemPrompt: "You diagnose faults of water heaters.",
        },
    },
    workspaces: { large: { weight: 8 }, medium: { weight: 2 }, small: { weight: 1 } },
};

const defaultSeconds = 38;
const binMs = 500;
/** A time bin has recovered when this part of its calls meets the latency targets. */
const normalRatio = 0.95;

type OverloadSpan = { readonly fromMs: number; readonly toMs: number };
type RunContext = { readonly workload: Workload; readonly capacityPerSecond: number; readonly crest: OverloadSpan };

export const crest: Experiment = async args => {
    const options = parseExperimentArgs(args);
    const seconds = options.seconds ?? defaultSeconds;
    const workload = Workload.parse(options.workload ?? defaultWorkload);
    const schedule = scheduleFor(testbedSpec, workload, options.seed, seconds);
    const capacityPerSecond = capacityOf(testbedSpec, workload);
    const context: RunContext = {
        workload,
        capacityPerSecond,
        crest: findOverload(workload, capacityPerSecond, seconds),
    };
    const figures: Record<string, Figures[string]> = {};
    for (const [name, policy] of selectPolicies(options.policy)) {
        figures[name] = await runPolicy(policy, schedule, context, options.seed);
        process.stderr.write(`${name}: ${JSON.stringify(figures[name])}\n`);
    }
    printResult("crest", options.seed, figures);
    return 0;
};

/** The span of the run in which demand exceeds capacity. */
function findOverload(workload: Workload, capacityPerSecond: number, seconds: number): OverloadSpan {
    const bins = Array.from({ length: (seconds * 1_000) / binMs }, (unused, index) => index * binMs);
    const overloaded = bins.filter(atMs => rateAt(workload, atMs / 1_000, capacityPerSecond) > capacityPerSecond);
    return { fromMs: overloaded[0] ?? 0, toMs: (overloaded.at(-1) ?? 0) + binMs };
}

async function runPolicy(
    policy: Policy,
    schedule: readonly ScheduledCall[],
    context: RunContext,
    seed: number,
): Promise<Figures[string]> {
    const testbed = await startTestbed(testbedSpec, policy, context.workload, seed);
    try {
        const records = await testbed.run(schedule, `crest${seed}`);
        return { ...figuresOf(records, context), falseRefusalsCount: await countFalseRefusals(testbed, records) };
    }
    finally {
        await testbed.stop();
    }
}

function figuresOf(records: readonly CallRecord[], context: RunContext): Figures[string] {
    const { crest: { fromMs, toMs }, capacityPerSecond } = context;
    const duringOverload = arrivedBetween(records, fromMs, toMs);
    const onTarget = duringOverload.filter(record => meetsTargets(record, defaultTargets));
    const refused = records.filter(isRefused);
    const answered = duringOverload.filter(({ result }) => result.whole);
    return {
        capacityPerSecond: rounded(capacityPerSecond),
        offeredOverCapacityRatio: rounded(duringOverload.length / (capacityPerSecond * (toMs - fromMs) / 1_000)),
        inTimeOverCapacityRatio: rounded(onTarget.length / (capacityPerSecond * (toMs - fromMs) / 1_000)),
        answeredOverCapacityRatio: rounded(answered.length / (capacityPerSecond * (toMs - fromMs) / 1_000)),
        firstTokenP95Ms: percentile(answered.map(({ result }) => result.firstTokenMs!), 95),
        betweenTokensP95Ms: percentile(answered.map(({ result }) => result.betweenTokensMs ?? 0), 95),
        refusalP99Ms: percentile(refused.map(({ result }) => result.totalMs), 99),
        refusedCount: refused.length,
        leastShareRatio: rounded(minShareRatio(duringOverload, context)),
        backToNormalSeconds: recoverySeconds(records, toMs),
        otherEndingsCount: records.filter(record => !record.result.whole && !isRefused(record)).length,
        callerLatenessP99Ms: percentile(records.map(({ lateMs }) => lateMs), 99),
    };
}

/**
 * The lowest ratio over all workspaces of answers within the targets to what the workspace is entitled to: its demand
 * or its share of capacity, whichever is less.
 */
function minShareRatio(
    duringOverload: readonly CallRecord[],
    { workload, capacityPerSecond, crest: { fromMs, toMs } }: RunContext,
): number {
    const shares = Object.values(workload.workspaces).reduce((sum, { share }) => sum + share, 0);
    const capacity = capacityPerSecond * (toMs - fromMs) / 1_000;
    return Math.min(
        ...Object.entries(workload.workspaces).map(([name, { share }]) => {
            const calls = duringOverload.filter(({ call }) => call.workspace === name);
            const entitled = Math.min(calls.length, capacity * share / shares);
            return calls.filter(record => meetsTargets(record, defaultTargets)).length / entitled;
        }),
    );
}

/** Seconds from the end of the overload until the end of the last time bin that has not recovered. */
function recoverySeconds(records: readonly CallRecord[], overloadEndMs: number): number {
    const lastMs = Math.max(...records.map(({ call }) => call.atMs));
    let recoveredAtMs = overloadEndMs;
    for (let atMs = overloadEndMs; atMs < lastMs; atMs += binMs) {
        const bin = arrivedBetween(records, atMs, atMs + binMs);
        const onTarget = bin.filter(record => meetsTargets(record, defaultTargets)).length;
        if (onTarget < bin.length * normalRatio) {
            recoveredAtMs = atMs + binMs;
        }
    }
    return (recoveredAtMs - overloadEndMs) / 1_000;
}

type Execution = { readonly requestId: string };

/** Counts the refused calls that an engine executed nevertheless. */
async function countFalseRefusals({ cluster }: Testbed, records: readonly CallRecord[]): Promise<number> {
    const executedIds = new Set<string>();
    for (const { port } of cluster.engines) {
        const response = await fetch(`http://127.0.0.1:${port}/lab/executions`);
        (await response.json() as readonly Execution[]).forEach(({ requestId }) => executedIds.add(requestId));
    }
    return records.filter(record => isRefused(record) && executedIds.has(record.result.requestId ?? "")).length;
}
