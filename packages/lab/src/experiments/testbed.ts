/**
 * The test setup of the serving experiments: a cluster of processes under one policy, and a workload run against it.
 */
import { hashKey } from "@rattanquay/entry";
import { Ticket } from "@rattanquay/schema";
import { sleep, systemTimer } from "@rattanquay/timer";
import { type ClusterSpec, defaultSpec, type ProcessCluster, startProcessCluster, submit, zoneNames } from "../cluster";
import { type EngineOptions } from "../engine";
import { type CallRecord, runOpenLoop } from "../load";
import { makeSchedule, meanTokens, type ScheduledCall, seededRandom, type Workload } from "../workload";

/** The policy settings of an entry instance, which the experiments compare. */
export type Policy = NonNullable<ClusterSpec["settings"]["policy"]>;

/** The default policy first, then the baselines. */
export const servingPolicies = {
    chosen: { routing: "twoChoices", admission: "reserved" },
    random: { routing: "random", admission: "firstCome" },
    roundRobin: { routing: "roundRobin", admission: "firstCome" },
    leastReported: { routing: "leastReported", admission: "firstCome" },
} as const satisfies Record<string, Policy>;

/** The policies to run: the named one, or all. */
export function selectPolicies(name: string | undefined): readonly (readonly [string, Policy])[] {
    const all = Object.entries(servingPolicies);
    const selected = all.filter(([policy]) => name === undefined || policy === name);
    if (selected.length === 0) {
        throw new Error(`unknown policy ${name}; use one of ${all.map(([policy]) => policy).join(", ")}`);
    }
    return selected;
}

export type TestbedSpec = {
    readonly entries: number;
    readonly replicas: number;
    /** Declared for each replica. */
    readonly concurrency: number;
    readonly engine:
        & Required<Pick<EngineOptions, "maxRunning" | "stepBaseMs" | "stepPerSequenceMs" | "prefillTokensPerMs">>
        & Partial<EngineOptions>;
    readonly longFromTokens: number;
};

const targetBetweenTokensMs = 52;
/** A call occupies a slot while it waits for the current step to end, which takes half a step on average. */
const meanJoinDelaySteps = 0.5;

/** The calls per second that the engines can serve within the target time between tokens. */
export function capacityOf({ replicas, concurrency, engine }: TestbedSpec, workload: Workload): number {
    const { prompt, answer } = meanTokens(workload);
    const prefillMs = prompt / engine.prefillTokensPerMs;
    const perSequenceMs = engine.stepPerSequenceMs + prefillMs / answer;
    const maxWithinTarget = Math.floor((targetBetweenTokensMs - engine.stepBaseMs) / perSequenceMs);
    const running = Math.min(concurrency * answer / (answer + meanJoinDelaySteps), engine.maxRunning, maxWithinTarget);
    const stepMs = engine.stepBaseMs + running * perSequenceMs;
    return replicas * running / (answer * stepMs) * 1_000;
}

export type Testbed = {
    readonly cluster: ProcessCluster;
    readonly spec: TestbedSpec;
    readonly run: (schedule: readonly ScheduledCall[], name: string) => Promise<readonly CallRecord[]>;
    readonly stop: () => Promise<void>;
};

const settleMs = 1_500;
const keyOf = (workspace: string): string => `lab-key-of-${workspace}`;

/** Starts a cluster with the service and the workspaces of the experiment. */
export async function startTestbed(
    spec: TestbedSpec,
    policy: Policy,
    workload: Workload,
    seed: number,
): Promise<Testbed> {
    const cluster = await startProcessCluster({
        ...defaultSpec,
        zones: 1,
        entriesPerZone: spec.entries,
        instancesPerDomain: spec.replicas,
        replicasPerZone: spec.replicas,
        groupSize: 1,
        services: 0,
        concurrency: spec.concurrency,
        engine: spec.engine,
        settings: { policy, log: { level: "error" } },
    });
    await submit(cluster.entries[0]!.ports.operators, ticketOf(spec, workload));
    await sleep(systemTimer, settleMs);
    const random = seededRandom(seed);
    return {
        cluster,
        spec,
        run: (schedule, name) =>
            runOpenLoop(schedule, {
                ports: cluster.entries.map(entry => entry.ports.callers),
                keyOf,
                random,
                run: name,
            }),
        stop: cluster.stop,
    };
}

function ticketOf(spec: TestbedSpec, workload: Workload): Ticket {
    return Ticket.parse({
        ticket: 2,
        author: "lab",
        reason: "the experiment's classes and workspaces",
        services: {
            assistant: {
                kind: "model",
                model: "stand-in",
                version: "v1",
                replicas: { [zoneNames[0]]: spec.replicas },
                groupSize: 1,
                concurrency: spec.concurrency,
                longWork: { fromTokens: spec.longFromTokens },
            },
        },
        workspaces: Object.fromEntries(
            Object.entries(workload.workspaces).map(([name, { share }]) => [
                name,
                { keySha256: [hashKey(keyOf(name))], services: ["assistant"], share },
            ]),
        ),
    });
}

/** Generates the calls of a workload for a testbed. */
export function scheduleFor(
    spec: TestbedSpec,
    workload: Workload,
    seed: number,
    seconds: number,
): readonly ScheduledCall[] {
    return makeSchedule(workload, { seed, seconds, capacityPerSecond: capacityOf(spec, workload) });
}
