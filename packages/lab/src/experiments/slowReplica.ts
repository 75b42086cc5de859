/** What callers feel when one replica of ten falls to a tenth of its speed. */
import { sleep, systemTimer } from "@rattanquay/timer";
import { control } from "../httpServer";
import { type CallRecord } from "../load";
import { Workload } from "../workload";
import { type Experiment, type Figures, parseExperimentArgs, printResult } from "./experiment";
import { between, isRefused, percentile, rounded } from "./measures";
import { pickPolicies, type Policy, scheduleFor, type Shape, startRig } from "./servingRun";

const shape: Shape = {
    entries: 4,
    replicas: 10,
    concurrency: 8,
    engine: { maxRunning: 8, stepBaseMs: 20, stepPerSequenceMs: 1.25, prefillTokensPerMs: 20 },
    longFromTokens: 512,
};

const defaultWorkload = {
    arrivals: [{ atSeconds: 0, shareOfCapacity: 0.5 }],
    kinds: { diagnosis: { weight: 1, answerTokens: { kind: "uniform", from: 5, to: 25 }, maxTokens: 256 } },
};

const defaultSeconds = 36;
const slowFactor = 10;
const warmUpShare = 0.1;
const faultShare = 0.4;
/** The time that detection may take, before the run counts as one with a slow replica. */
const detectionShare = 0.2;

export const slowReplica: Experiment = async args => {
    const options = parseExperimentArgs(args);
    const seconds = options.seconds ?? defaultSeconds;
    const workload = Workload.parse(options.workload ?? defaultWorkload);
    const figures: Record<string, Figures[string]> = {};
    for (const [name, policy] of pickPolicies(options.policy)) {
        figures[name] = figuresOf(await runUnder(policy, workload, options.seed, seconds), seconds * 1_000);
        process.stderr.write(`${name}: ${JSON.stringify(figures[name])}\n`);
    }
    printResult("slow-replica", options.seed, figures);
    return 0;
};

async function runUnder(
    policy: Policy,
    workload: Workload,
    seed: number,
    seconds: number,
): Promise<readonly CallRecord[]> {
    const rig = await startRig(shape, policy, workload, seed);
    try {
        const running = rig.run(scheduleFor(shape, workload, seed, seconds), `slow${seed}`);
        await sleep(systemTimer, seconds * 1_000 * faultShare);
        await control(rig.cluster.engines[0]!.port, "/lab/fault", { slowFactor });
        return await running;
    }
    finally {
        await rig.stop();
    }
}

function figuresOf(records: readonly CallRecord[], runMs: number): Figures[string] {
    const faultMs = runMs * faultShare;
    const without = between(records, runMs * warmUpShare, faultMs);
    const onset = between(records, faultMs, faultMs + runMs * detectionShare);
    const slow = between(records, faultMs + runMs * detectionShare, runMs);
    const first = (span: readonly CallRecord[]): number =>
        percentile(span.filter(({ result }) => result.whole).map(({ result }) => result.firstTokenMs!), 99);
    const total = (span: readonly CallRecord[]): number =>
        percentile(span.filter(({ result }) => result.whole).map(({ result }) => result.totalMs), 99);
    return {
        firstTokenP99WithoutMs: first(without),
        firstTokenP99AtOnsetMs: first(onset),
        firstTokenP99Ms: first(slow),
        firstTokenP99Ratio: rounded(first(slow) / first(without)),
        totalP99WithoutMs: total(without),
        totalP99AtOnsetMs: total(onset),
        totalP99Ms: total(slow),
        totalP99Ratio: rounded(total(slow) / total(without)),
        refusedCount: records.filter(isRefused).length,
        callsWithSlowCount: slow.length,
    };
}
