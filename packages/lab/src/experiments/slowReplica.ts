/** Measures latencies when one replica of ten becomes ten times slower. */
import { sleep, systemTimer } from "@rattanquay/timer";
import { postControl } from "../httpServer";
import { type CallRecord } from "../load";
import { Workload } from "../workload";
import { type Experiment, type Figures, parseExperimentArgs, printResult } from "./experiment";
import { arrivedBetween, isRefused, percentile, rounded } from "./statistics";
import { type Policy, scheduleFor, selectPolicies, startTestbed, type TestbedSpec } from "./testbed";

const testbedSpec: TestbedSpec = {
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
const faultStartShare = 0.4;
/**
 * The part of the run after the fault that is reported as its onset, while the slow replica may still be undetected.
 */
const detectionShare = 0.2;

export const slowReplica: Experiment = async args => {
    const options = parseExperimentArgs(args);
    const seconds = options.seconds ?? defaultSeconds;
    const workload = Workload.parse(options.workload ?? defaultWorkload);
    const figures: Record<string, Figures[string]> = {};
    for (const [name, policy] of selectPolicies(options.policy)) {
        figures[name] = figuresOf(await runPolicy(policy, workload, options.seed, seconds), seconds * 1_000);
        process.stderr.write(`${name}: ${JSON.stringify(figures[name])}\n`);
    }
    printResult("slow-replica", options.seed, figures);
    return 0;
};

async function runPolicy(
    policy: Policy,
    workload: Workload,
    seed: number,
    seconds: number,
): Promise<readonly CallRecord[]> {
    const testbed = await startTestbed(testbedSpec, policy, workload, seed);
    try {
        const running = testbed.run(scheduleFor(testbedSpec, workload, seed, seconds), `slow${seed}`);
        await sleep(systemTimer, seconds * 1_000 * faultStartShare);
        await postControl(testbed.cluster.engines[0]!.port, "/lab/fault", { slowFactor });
        return await running;
    }
    finally {
        await testbed.stop();
    }
}

function figuresOf(records: readonly CallRecord[], runMs: number): Figures[string] {
    const faultStartMs = runMs * faultStartShare;
    const beforeFault = arrivedBetween(records, runMs * warmUpShare, faultStartMs);
    const atOnset = arrivedBetween(records, faultStartMs, faultStartMs + runMs * detectionShare);
    const afterDetection = arrivedBetween(records, faultStartMs + runMs * detectionShare, runMs);
    const firstTokenP99 = (span: readonly CallRecord[]): number =>
        percentile(span.filter(({ result }) => result.whole).map(({ result }) => result.firstTokenMs!), 99);
    const totalP99 = (span: readonly CallRecord[]): number =>
        percentile(span.filter(({ result }) => result.whole).map(({ result }) => result.totalMs), 99);
    return {
        firstTokenP99WithoutMs: firstTokenP99(beforeFault),
        firstTokenP99AtOnsetMs: firstTokenP99(atOnset),
        firstTokenP99Ms: firstTokenP99(afterDetection),
        firstTokenP99Ratio: rounded(firstTokenP99(afterDetection) / firstTokenP99(beforeFault)),
        totalP99WithoutMs: totalP99(beforeFault),
        totalP99AtOnsetMs: totalP99(atOnset),
        totalP99Ms: totalP99(afterDetection),
        totalP99Ratio: rounded(totalP99(afterDetection) / totalP99(beforeFault)),
        refusedCount: records.filter(isRefused).length,
        callsWithSlowCount: afterDetection.length,
    };
}
