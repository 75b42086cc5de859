/** How evenly many entry instances spread load when all of them act on the same old reports. */
import { sleep, systemTimer } from "@rattanquay/timer";
import { seededRandom, Workload } from "../workload";
import { type Experiment, type Figures, parseExperimentArgs, printResult } from "./experiment";
import { isRefused, mean, percentile, rounded } from "./measures";
import { pickPolicies, type Policy, type Rig, scheduleFor, type Shape, startRig } from "./servingRun";

const shape: Shape = {
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
    for (const [name, policy] of pickPolicies(options.policy)) {
        figures[name] = await runUnder(policy, workload, options.seed, seconds);
        process.stderr.write(`${name}: ${JSON.stringify(figures[name])}\n`);
    }
    printResult("stale-reports", options.seed, figures);
    return 0;
};

async function runUnder(policy: Policy, workload: Workload, seed: number, seconds: number): Promise<Figures[string]> {
    const rig = await startRig(shape, policy, workload, seed);
    try {
        const sampling = sampleLoads(rig, seconds * 1_000, seededRandom(seed));
        const records = await rig.run(scheduleFor(shape, workload, seed, seconds), `stale${seed}`);
        const loads = await sampling;
        const perReplica = loads[0]!.map((unused, index) => mean(loads.map(load => load[index]!)));
        const whole = records.filter(({ result }) => result.whole);
        return {
            loadMaxOverMeanRatio: rounded(mean(loads.map(maxOverMean))),
            meanLoadMaxOverMeanRatio: rounded(maxOverMean(perReplica)),
            meanLoadCount: rounded(mean(perReplica)),
            samplesCount: loads.length,
            firstTokenP95Ms: percentile(whole.map(({ result }) => result.firstTokenMs!), 95),
            refusedCount: records.filter(isRefused).length,
            callsCount: records.length,
        };
    }
    finally {
        await rig.stop();
    }
}

function maxOverMean(loads: readonly number[]): number {
    return Math.max(...loads) / Math.max(Number.EPSILON, mean(loads));
}

/** Asks the engines themselves, at instants that are not in step with their reports. */
async function sampleLoads(
    { cluster }: Rig,
    durationMs: number,
    random: () => number,
): Promise<readonly (readonly number[])[]> {
    const samples: (readonly number[])[] = [];
    const startMs = systemTimer.nowMs();
    await sleep(systemTimer, durationMs * warmUpShare);
    while (systemTimer.nowMs() - startMs < durationMs) {
        samples.push(await Promise.all(cluster.engines.map(({ port }) => loadOf(port))));
        await sleep(systemTimer, sampleIntervalMs * (0.5 + random()));
    }
    return samples;
}

async function loadOf(port: number): Promise<number> {
    const response = await fetch(`http://127.0.0.1:${port}/lab/load`);
    const { running, waiting } = await response.json() as { readonly running: number; readonly waiting: number };
    return running + waiting;
}
