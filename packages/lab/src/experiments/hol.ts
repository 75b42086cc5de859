/** How long short work waits because of long work, and what long work pays for it. */
import { type CallRecord } from "../load";
import { type ScheduledCall, Workload } from "../workload";
import { type Experiment, type Figures, parseExperimentArgs, printResult } from "./experiment";
import { between, isRefused, mean, percentile, rounded } from "./measures";
import { pickPolicies, type Policy, scheduleFor, servingPolicies, type Shape, startRig } from "./servingRun";

const shape: Shape = {
    entries: 4,
    replicas: 8,
    concurrency: 8,
    engine: { maxRunning: 8, stepBaseMs: 20, stepPerSequenceMs: 1.25, prefillTokensPerMs: 20 },
    longFromTokens: 64,
};

/** One call in ten is fifty times as long. */
const defaultWorkload = {
    arrivals: [{ atSeconds: 0, shareOfCapacity: 0.8 }],
    kinds: {
        diagnosis: {
            weight: 9,
            work: "short",
            answerTokens: { kind: "fixed", tokens: 4 },
            maxTokens: 256,
            systemPrompt: "You diagnose faults of water heaters.",
        },
        spanLogSummary: {
            weight: 1,
            work: "long",
            answerTokens: { kind: "fixed", tokens: 200 },
            maxTokens: 256,
            systemPrompt: "You summarise span logs.",
        },
    },
};

const defaultSeconds = 24;
/** Long work takes some six seconds, so the replicas are not full before. */
const warmUpShare = 0.33;
const bothWorks = ["short", "long"] as const;
type WorkName = (typeof bothWorks)[number];

type Run = { readonly schedule: readonly ScheduledCall[]; readonly records: readonly CallRecord[] };

export const hol: Experiment = async args => {
    const options = parseExperimentArgs(args);
    const seconds = options.seconds ?? defaultSeconds;
    const workload = Workload.parse(options.workload ?? defaultWorkload);
    const runOne = (policy: Policy, kinds: Workload): Promise<Run> => runUnder(policy, kinds, options.seed, seconds);

    const alone: Partial<Record<WorkName, readonly CallRecord[]>> = {};
    for (const work of bothWorks) {
        alone[work] = (await runOne(servingPolicies.chosen, onlyWork(workload, work))).records;
    }
    const figures: Record<string, Figures[string]> = {};
    for (const [name, policy] of pickPolicies(options.policy)) {
        const { records } = await runOne(policy, workload);
        figures[name] = figuresOf(records, alone as Record<WorkName, readonly CallRecord[]>, seconds);
        process.stderr.write(`${name}: ${JSON.stringify(figures[name])}\n`);
    }
    printResult("hol", options.seed, figures);
    return 0;
};

/** The same workload without the other kind of work, at the same share of capacity. */
function onlyWork(workload: Workload, work: WorkName): Workload {
    const kinds = Object.entries(workload.kinds).filter(([, kind]) => kind.work === work);
    return { ...workload, kinds: Object.fromEntries(kinds) };
}

async function runUnder(policy: Policy, workload: Workload, seed: number, seconds: number): Promise<Run> {
    const rig = await startRig(shape, policy, workload, seed);
    try {
        const schedule = scheduleFor(shape, workload, seed, seconds);
        return { schedule, records: await rig.run(schedule, `hol${seed}`) };
    }
    finally {
        await rig.stop();
    }
}

function figuresOf(
    all: readonly CallRecord[],
    alone: Readonly<Record<WorkName, readonly CallRecord[]>>,
    seconds: number,
): Figures[string] {
    const measured = (records: readonly CallRecord[], work: WorkName): readonly CallRecord[] =>
        between(records, seconds * 1_000 * warmUpShare, seconds * 1_000).filter(({ call }) => call.work === work);
    const firstTokens = (records: readonly CallRecord[]): readonly number[] =>
        records.filter(({ result }) => result.whole).map(({ result }) => result.firstTokenMs!);
    const totals = (records: readonly CallRecord[]): readonly number[] =>
        records.filter(({ result }) => result.whole).map(({ result }) => result.totalMs);
    const short = measured(all, "short");
    const long = measured(all, "long");
    const shortP95 = percentile(firstTokens(short), 95);
    const shortAloneP95 = percentile(firstTokens(measured(alone.short, "short")), 95);
    const longMean = mean(totals(long));
    const longAloneMean = mean(totals(measured(alone.long, "long")));
    return {
        shortFirstTokenP50Ms: rounded(percentile(firstTokens(short), 50)),
        shortFirstTokenP95Ms: rounded(shortP95),
        shortFirstTokenP99Ms: rounded(percentile(firstTokens(short), 99)),
        shortAloneFirstTokenP95Ms: rounded(shortAloneP95),
        shortP95OverAloneRatio: rounded(shortP95 / shortAloneP95),
        shortRefusedRatio: rounded(short.filter(isRefused).length / Math.max(1, short.length)),
        shortCallsCount: short.length,
        longTotalMeanMs: rounded(longMean),
        longTotalP95Ms: rounded(percentile(totals(long), 95)),
        longAloneTotalMeanMs: rounded(longAloneMean),
        longAloneTotalP95Ms: rounded(percentile(totals(measured(alone.long, "long")), 95)),
        longOverAloneRatio: rounded(longMean / longAloneMean),
        longRefusedRatio: rounded(long.filter(isRefused).length / Math.max(1, long.length)),
        longCallsCount: long.length,
    };
}
