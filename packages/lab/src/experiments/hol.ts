/**
 * Head-of-line blocking: measures how long short calls wait behind long calls, and how much slower long calls become.
 */
import { type CallRecord } from "../load";
import { type ScheduledCall, Workload } from "../workload";
import { type Experiment, type Figures, parseExperimentArgs, printResult } from "./experiment";
import { arrivedBetween, isRefused, mean, percentile, rounded } from "./statistics";
import { type Policy, scheduleFor, selectPolicies, servingPolicies, startTestbed, type TestbedSpec } from "./testbed";

const testbedSpec: TestbedSpec = {
    entries: 4,
    replicas: 8,
    concurrency: 8,
    engine: { maxRunning: 8, stepBaseMs: 20, stepPerSequenceMs: 1.25, prefillTokensPerMs: 20 },
    longFromTokens: 64,
};

/** One call in ten has an answer that is fifty times as long. */
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
/** Long calls take about six seconds, so the replicas reach their steady load only after that. */
const warmUpShare = 0.33;
const workClasses = ["short", "long"] as const;
type WorkClass = (typeof workClasses)[number];

type RunOutput = { readonly schedule: readonly ScheduledCall[]; readonly records: readonly CallRecord[] };

export const hol: Experiment = async args => {
    const options = parseExperimentArgs(args);
    const seconds = options.seconds ?? defaultSeconds;
    const workload = Workload.parse(options.workload ?? defaultWorkload);
    const runOne = (policy: Policy, kinds: Workload): Promise<RunOutput> =>
        runPolicy(policy, kinds, options.seed, seconds);

    const alone: Partial<Record<WorkClass, readonly CallRecord[]>> = {};
    for (const work of workClasses) {
        alone[work] = (await runOne(servingPolicies.chosen, withOnlyWorkClass(workload, work))).records;
    }
    const figures: Record<string, Figures[string]> = {};
    for (const [name, policy] of selectPolicies(options.policy)) {
        const { records } = await runOne(policy, workload);
        figures[name] = figuresOf(records, alone as Record<WorkClass, readonly CallRecord[]>, seconds);
        process.stderr.write(`${name}: ${JSON.stringify(figures[name])}\n`);
    }
    printResult("hol", options.seed, figures);
    return 0;
};

/** The workload with only one work class, at the same share of capacity. */
function withOnlyWorkClass(workload: Workload, work: WorkClass): Workload {
    const kinds = Object.entries(workload.kinds).filter(([, kind]) => kind.work === work);
    return { ...workload, kinds: Object.fromEntries(kinds) };
}

async function runPolicy(policy: Policy, workload: Workload, seed: number, seconds: number): Promise<RunOutput> {
    const testbed = await startTestbed(testbedSpec, policy, workload, seed);
    try {
        const schedule = scheduleFor(testbedSpec, workload, seed, seconds);
        return { schedule, records: await testbed.run(schedule, `hol${seed}`) };
    }
    finally {
        await testbed.stop();
    }
}

function figuresOf(
    all: readonly CallRecord[],
    alone: Readonly<Record<WorkClass, readonly CallRecord[]>>,
    seconds: number,
): Figures[string] {
    const recordsOf = (records: readonly CallRecord[], work: WorkClass): readonly CallRecord[] =>
        arrivedBetween(records, seconds * 1_000 * warmUpShare, seconds * 1_000).filter(({ call }) =>
            call.work === work
        );
    const firstTokens = (records: readonly CallRecord[]): readonly number[] =>
        records.filter(({ result }) => result.whole).map(({ result }) => result.firstTokenMs!);
    const totals = (records: readonly CallRecord[]): readonly number[] =>
        records.filter(({ result }) => result.whole).map(({ result }) => result.totalMs);
    const short = recordsOf(all, "short");
    const long = recordsOf(all, "long");
    const shortP95 = percentile(firstTokens(short), 95);
    const shortAloneP95 = percentile(firstTokens(recordsOf(alone.short, "short")), 95);
    const longMean = mean(totals(long));
    const longAloneMean = mean(totals(recordsOf(alone.long, "long")));
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
        longAloneTotalP95Ms: rounded(percentile(totals(recordsOf(alone.long, "long")), 95)),
        longOverAloneRatio: rounded(longMean / longAloneMean),
        longRefusedRatio: rounded(long.filter(isRefused).length / Math.max(1, long.length)),
        longCallsCount: long.length,
    };
}
