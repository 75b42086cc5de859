/** Measures how evenly many entry instances distribute load when all of them act on the same outdated load reports. */
import { sleep, systemTimer } from "@rattanquay/timer";
import { seededRandom, Workload } from "../workload";
import { type Experiment, type Figures, parseExperimentArgs, printResult } from "./experiment";
import { isRefused, mean, percentile, rounded } from "./statistics";
import { type Policy, scheduleFor, selectPolicies, startTestbed, type Testbed, type TestbedSpec } from "./testbed";

const testbedSpec: TestbedSpec = {
    entries: 8,
    replicas: 10,
    concurrency: 12,
    engine: {
        maxRunning: 12,
        stepBaseMs: 30,
        stepPerSequenceMs: 0.5,
        prefillTokensPerMs: 20,
        loadReportLagMs: 2_000,
    },
    longFromTokens: 512,
};

const defaultWorkload = {
    arrivals: [{ atSeconds: 0, shareOfCapacity: 0.7 }],
    kinds: { diagnosis: { weight: 1, answerTokens: { kind: "uniform", from: 5, to: 45 }, maxTokens: 256 } },
};

const defaultSeconds = 24;
const warmUpShare = 0.25;
const sampleIntervalMs = 200;

export const staleReports: Experiment = async args => {
    const options = parseExperimentArgs(args);
    const seconds = options.seconds ?? defaultSeconds;
    const workload = Workload.parse(options.workload ?? defaultWorkload);
    const figures: Record<string, Figures[string]> = {};
    for (const [name, policy] of selectPolicies(options.policy)) {
        figures[name] = await runPolicy(policy, workload, options.seed, seconds);
        process.stderr.write(`${name}: ${JSON.stringify(figures[name])}\n`);
    }
    printResult("stale-reports", options.seed, figures);
    return 0;
};

async function runPolicy(policy: Policy, workload: Workload, seed: number, seconds: number): Promise<Figures[string]> {
    const testbed = await startTestbed(testbedSpec, policy, workload, seed);
    try {
        const pendingLoads = sampleLoads(testbed, seconds * 1_000, seededRandom(seed));
        const records = await testbed.run(scheduleFor(testbedSpec, workload, seed, seconds), `stale${seed}`);
        const loads = await pendingLoads;
        const perReplica = loads[0]!.map((unused, index) => mean(loads.map(load => load[index]!)));
        const answered = records.filter(({ result }) => result.whole);
        return {
            loadMaxOverMeanRatio: rounded(mean(loads.map(maxOverMean))),
            meanLoadMaxOverMeanRatio: rounded(maxOverMean(perReplica)),
            meanLoadCount: rounded(mean(perReplica)),
            samplesCount: loads.length,
            firstTokenP95Ms: percentile(answered.map(({ result }) => result.firstTokenMs!), 95),
            refusedCount: records.filter(isRefused).length,
            callsCount: records.length,
        };
    }
    finally {
        await testbed.stop();
    }
}

function maxOverMean(loads: readonly number[]): number {
    return Math.max(...loads) / Math.max(Number.EPSILON, mean(loads));
}

/**
 * Reads the loads from the engines, at random intervals so that the samples are not synchronised with the load reports.
 */
async function sampleLoads(
    { cluster }: Testbed,
    durationMs: number,
    random: () => number,
): Promise<readonly (readonly number[])[]> {
    const samples: (readonly number[])[] = [];
    const startMs = systemTimer.nowMs();
    await sleep(systemTimer, durationMs * warmUpShare);
    while (systemTimer.nowMs() - startMs < durationMs) {
        samples.push(await Promise.all(cluster.engines.map(({ port }) => fetchLoad(port))));
        await sleep(systemTimer, sampleIntervalMs * (0.5 + random()));
    }
    return samples;
}

async function fetchLoad(port: number): Promise<number> {
    const response = await fetch(`http://127.0.0.1:${port}/lab/load`);
    const { running, waiting } = await response.json() as { readonly running: number; readonly waiting: number };
    return running + waiting;
}
