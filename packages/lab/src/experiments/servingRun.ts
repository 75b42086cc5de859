/** What the serving experiments share: a cluster of processes under one policy, and a workload run against it. */
import { hashKey } from "@rattanquay/entry";
import { Ticket } from "@rattanquay/schema";
import { sleep, systemTimer } from "@rattanquay/timer";
import { type ClusterSpec, defaultSpec, type ProcessCluster, startProcessCluster, submit, zoneNames } from "../cluster";
import { type EngineOptions } from "../engine";
import { type CallRecord, runOpenLoop } from "../load";
import { makeSchedule, meanTokens, type ScheduledCall, seededRandom, type Workload } from "../workload";

/** The part of an entry instance's settings that experiments compare. */
export type Policy = NonNullable<ClusterSpec["settings"]["policy"]>;

/** The chosen policy first, then the baselines. */
export const servingPolicies = {
    chosen: { routing: "twoChoices", admission: "reserved" },
    random: { routing: "random", admission: "firstCome" },
    roundRobin: { routing: "roundRobin", admission: "firstCome" },
    leastReported: { routing: "leastReported", admission: "firstCome" },
} as const satisfies Record<string, Policy>;

/** The policies to run: the named one, or all. */
export function pickPolicies(name: string | undefined): readonly (readonly [string, Policy])[] {
    const all = Object.entries(servingPolicies);
    const picked = all.filter(([policy]) => name === undefined || policy === name);
    if (picked.length === 0) {
        throw new Error(`unknown policy ${name}; use one of ${all.map(([policy]) => policy).join(", ")}`);
    }
    return picked;
}

export type Shape = {
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
/** A call holds its place while it waits for the running step to end: half a step on average. */
const joinSteps = 0.5;

/** Calls a second that the engines can serve within the declared time between tokens. */
export function capacityOf({ replicas, concurrency, engine }: Shape, workload: Workload): number {
    const { prompt, answer } = meanTokens(workload);
    const prefillMs = prompt / engine.prefillTokensPerMs;
    const perSequenceMs = engine.stepPerSequenceMs + prefillMs / answer;
    const fitting = Math.floor((targetBetweenTokensMs - engine.stepBaseMs) / perSequenceMs);
    const running = Math.min(concurrency * answer / (answer + joinSteps), engine.maxRunning, fitting);
    const stepMs = engine.stepBaseMs + running * perSequenceMs;
    return replicas * running / (answer * stepMs) * 1_000;
}

export type Rig = {
    readonly cluster: ProcessCluster;
    readonly shape: Shape;
    readonly run: (schedule: readonly ScheduledCall[], name: string) => Promise<readonly CallRecord[]>;
    readonly stop: () => Promise<void>;
};

const settleMs = 1_500;
const keyOf = (workspace: string): string => `lab-key-of-${workspace}`;

/** Starts a cluster whose services and workspaces are those of the experiment. */
export async function startRig(shape: Shape, policy: Policy, workload: Workload, seed: number): Promise<Rig> {
    const cluster = await startProcessCluster({
        ...defaultSpec,
        zones: 1,
        entriesPerZone: shape.entries,
        instancesPerDomain: shape.replicas,
        replicasPerZone: shape.replicas,
        groupSize: 1,
        services: 0,
        concurrency: shape.concurrency,
        engine: shape.engine,
        settings: { policy, log: { level: "error" } },
    });
    await submit(cluster.entries[0]!.ports.operators, ticketOf(shape, workload));
    await sleep(systemTimer, settleMs);
    const random = seededRandom(seed);
    return {
        cluster,
        shape,
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

function ticketOf(shape: Shape, workload: Workload): Ticket {
    return Ticket.parse({
        ticket: 2,
        author: "lab",
        reason: "the experiment's classes and workspaces",
        services: {
            assistant: {
                kind: "model",
                model: "stand-in",
                version: "v1",
                replicas: { [zoneNames[0]]: shape.replicas },
                groupSize: 1,
                concurrency: shape.concurrency,
                longWork: { fromTokens: shape.longFromTokens },
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

/** Draws the calls of a workload for a rig of this shape. */
export function scheduleFor(shape: Shape, workload: Workload, seed: number, seconds: number): readonly ScheduledCall[] {
    return makeSchedule(workload, { seed, seconds, capacityPerSecond: capacityOf(shape, workload) });
}
