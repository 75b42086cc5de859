/** What callers get while demand is several times what the replicas can do, and how soon it is as before. */
import { type CallRecord } from "../load";
import { rateAt, type ScheduledCall, Workload } from "../workload";
import { type Experiment, type Figures, parseExperimentArgs, printResult } from "./experiment";
import { between, defaultTargets, inTime, isRefused, percentile, rounded } from "./measures";
import { capacityOf, pickPolicies, type Policy, type Rig, scheduleFor, type Shape, startRig } from "./servingRun";

/** The declared concurrency is about twice what the engines can run within the target, as an operator may well declare. */
const shape: Shape = {
    entries: 4,
    replicas: 4,
    concurrency: 64,
    engine: { maxRunning: 64, stepBaseMs: 16, stepPerSequenceMs: 1, prefillTokensPerMs: 20 },
    longFromTokens: 512,
};

/** From half of capacity to three times capacity within two seconds, for twenty seconds, and back. */
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
/** A span of time is as before when this part of its calls is answered in time. */
const normalRatio = 0.95;

type Crest = { readonly fromMs: number; readonly toMs: number };
type Judged = { readonly workload: Workload; readonly capacityPerSecond: number; readonly crest: Crest };

export const crest: Experiment = async args => {
    const options = parseExperimentArgs(args);
    const seconds = options.seconds ?? defaultSeconds;
    const workload = Workload.parse(options.workload ?? defaultWorkload);
    const schedule = scheduleFor(shape, workload, options.seed, seconds);
    const capacityPerSecond = capacityOf(shape, workload);
    const judged: Judged = { workload, capacityPerSecond, crest: findCrest(workload, capacityPerSecond, seconds) };
    const figures: Record<string, Figures[string]> = {};
    for (const [name, policy] of pickPolicies(options.policy)) {
        figures[name] = await runUnder(policy, schedule, judged, options.seed);
        process.stderr.write(`${name}: ${JSON.stringify(figures[name])}\n`);
    }
    printResult("crest", options.seed, figures);
    return 0;
};

/** The span in which demand is above capacity. */
function findCrest(workload: Workload, capacityPerSecond: number, seconds: number): Crest {
    const bins = Array.from({ length: (seconds * 1_000) / binMs }, (unused, index) => index * binMs);
    const above = bins.filter(atMs => rateAt(workload, atMs / 1_000, capacityPerSecond) > capacityPerSecond);
    return { fromMs: above[0] ?? 0, toMs: (above.at(-1) ?? 0) + binMs };
}

async function runUnder(
    policy: Policy,
    schedule: readonly ScheduledCall[],
    judged: Judged,
    seed: number,
): Promise<Figures[string]> {
    const rig = await startRig(shape, policy, judged.workload, seed);
    try {
        const records = await rig.run(schedule, `crest${seed}`);
        return { ...figuresOf(records, judged), falseRefusalsCount: await countFalseRefusals(rig, records) };
    }
    finally {
        await rig.stop();
    }
}

function figuresOf(records: readonly CallRecord[], judged: Judged): Figures[string] {
    const { crest: { fromMs, toMs }, capacityPerSecond } = judged;
    const during = between(records, fromMs, toMs);
    const good = during.filter(record => inTime(record, defaultTargets));
    const refused = records.filter(isRefused);
    const answered = during.filter(({ result }) => result.whole);
    return {
        capacityPerSecond: rounded(capacityPerSecond),
        offeredOverCapacityRatio: rounded(during.length / (capacityPerSecond * (toMs - fromMs) / 1_000)),
        inTimeOverCapacityRatio: rounded(good.length / (capacityPerSecond * (toMs - fromMs) / 1_000)),
        answeredOverCapacityRatio: rounded(answered.length / (capacityPerSecond * (toMs - fromMs) / 1_000)),
        firstTokenP95Ms: percentile(answered.map(({ result }) => result.firstTokenMs!), 95),
        betweenTokensP95Ms: percentile(answered.map(({ result }) => result.betweenTokensMs ?? 0), 95),
        refusalP99Ms: percentile(refused.map(({ result }) => result.totalMs), 99),
        refusedCount: refused.length,
        leastShareRatio: rounded(leastShare(during, judged)),
        backToNormalSeconds: backToNormal(records, toMs),
        otherEndingsCount: records.filter(record => !record.result.whole && !isRefused(record)).length,
        callerLatenessP99Ms: percentile(records.map(({ lateMs }) => lateMs), 99),
    };
}

/** The worst-off workspace's answers in time, against its demand or its share of capacity, whichever is less. */
function leastShare(
    during: readonly CallRecord[],
    { workload, capacityPerSecond, crest: { fromMs, toMs } }: Judged,
): number {
    const shares = Object.values(workload.workspaces).reduce((sum, { share }) => sum + share, 0);
    const capacity = capacityPerSecond * (toMs - fromMs) / 1_000;
    return Math.min(
        ...Object.entries(workload.workspaces).map(([name, { share }]) => {
            const own = during.filter(({ call }) => call.workspace === name);
            const owed = Math.min(own.length, capacity * share / shares);
            return own.filter(record => inTime(record, defaultTargets)).length / owed;
        }),
    );
}

/** Seconds after the crest until every later span is as before. */
function backToNormal(records: readonly CallRecord[], crestEndMs: number): number {
    const lastMs = Math.max(...records.map(({ call }) => call.atMs));
    let normalFromMs = crestEndMs;
    for (let atMs = crestEndMs; atMs < lastMs; atMs += binMs) {
        const bin = between(records, atMs, atMs + binMs);
        const good = bin.filter(record => inTime(record, defaultTargets)).length;
        if (good < bin.length * normalRatio) {
            normalFromMs = atMs + binMs;
        }
    }
    return (normalFromMs - crestEndMs) / 1_000;
}

type Execution = { readonly requestId: string };

/** Calls that were told "not run" although an engine ran them. */
async function countFalseRefusals({ cluster }: Rig, records: readonly CallRecord[]): Promise<number> {
    const ran = new Set<string>();
    for (const { port } of cluster.engines) {
        const response = await fetch(`http://127.0.0.1:${port}/lab/executions`);
        (await response.json() as readonly Execution[]).forEach(({ requestId }) => ran.add(requestId));
    }
    return records.filter(record => isRefused(record) && ran.has(record.result.requestId ?? "")).length;
}
