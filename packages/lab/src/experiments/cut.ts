/**
 * What callers of each zone see before, during and after a cut: of one zone from the others, of all zones from the
 * platform, and of one zone from both. Callers come by a Poisson process to the entry instances of their own zone.
 */
import { sleep, systemTimer } from "@rattanquay/timer";
import { build, type Histogram } from "hdr-histogram-js";
import {
    type ClusterSpec,
    defaultSpec,
    operate,
    type ProcessCluster,
    startProcessCluster,
    submit,
    ticketFor,
    until,
    zoneNames,
} from "../cluster";
import { type Passes, platformPlace } from "../link";
import { callChat } from "../load";
import { seededRandom } from "../random";
import { type Experiment, type Figures, parseExperimentArgs, printResult } from "./experiment";

const cutZone = zoneNames[0];
const betweenZones: Passes = (from, to) =>
    from === platformPlace || to === platformPlace || !(from === cutZone || to === cutZone);
const fromPlatform: Passes = (from, to) => from !== platformPlace && to !== platformPlace;

const cuts: Readonly<Record<string, Passes>> = {
    zoneCut: betweenZones,
    platformOutage: fromPlatform,
    both: (from, to) => from !== cutZone && to !== cutZone,
};

const phases = ["before", "during", "after"] as const;
type Phase = typeof phases[number];
type Tally = {
    calls: number;
    answered: number;
    refused: number;
    failed: number;
    readonly firstToken: Histogram;
    /** How calls without a whole answer ended. */
    readonly codes: Map<string, number>;
};
type Tallies = Map<string, Tally>;

const spec: ClusterSpec = { ...defaultSpec, zones: 3, entriesPerZone: 2, replicasPerZone: 2, cuttable: true };
const defaultCutSeconds = 20;
const besideSeconds = 8;
const callsPerZoneAndSecond = 10;
const tokens = 20;
const convergeTimeoutMs = 30_000;

export const cut: Experiment = async args => {
    const { seed, seconds = defaultCutSeconds, policy } = parseExperimentArgs(args);
    const figures: Record<string, Record<string, number>> = {};
    for (const [name, passes] of Object.entries(cuts).filter(([name]) => policy === undefined || policy === name)) {
        const cluster = await startProcessCluster(spec);
        try {
            figures[name] = await runCut(cluster, passes, seed, seconds);
            process.stdout.write(`${name} ${JSON.stringify(figures[name])}\n`);
        }
        finally {
            await cluster.stop();
        }
    }
    printResult("cut", seed, figures as Figures);
    return 0;
};

async function runCut(cluster: ProcessCluster, passes: Passes, seed: number, cutSeconds: number) {
    const tallies: Tallies = new Map(
        zoneNames.flatMap(zone => phases.map(phase => [`${zone}.${phase}`, makeTally()] as const)),
    );
    const random = seededRandom(seed);
    let phase: Phase = "before";
    const load = callAll(cluster, random, tallies, () => phase, 2 * besideSeconds + cutSeconds);
    await sleep(systemTimer, besideSeconds * 1_000);
    phase = "during";
    cluster.network!.setPasses(passes);
    const submitted = submitDuring(cluster);
    await sleep(systemTimer, cutSeconds * 1_000);
    cluster.network!.heal();
    phase = "after";
    const healedAtMs = systemTimer.nowMs();
    const convergedMs = await submitted ? await untilInForce(cluster, 2) - healedAtMs : undefined;
    await load;
    for (const [name, { codes }] of [...tallies].filter(([, tally]) => tally.codes.size > 0)) {
        process.stdout.write(`${name} without a whole answer: ${JSON.stringify(Object.fromEntries(codes))}\n`);
    }
    return { ...figuresOf(tallies), ...(convergedMs === undefined ? {} : { convergedMs: Math.round(convergedMs) }) };
}

/** A ticket sent in by a zone that is not cut off; while the platform is away none can be accepted. */
async function submitDuring(cluster: ProcessCluster): Promise<boolean> {
    const entry = cluster.entries.find(({ availabilityZone }) => availabilityZone !== cutZone)!;
    const servicePorts = cluster.services.map(service => service.port);
    const verdict = await submit(entry.ports.operators, ticketFor(spec, { ticket: 2, servicePorts }))
        .catch(() => undefined);
    return verdict?.kind === "accepted";
}

/** Each process is asked what it has in force itself. */
async function untilInForce(cluster: ProcessCluster, revision: number): Promise<number> {
    type Status = { readonly config: { readonly revision: number } };
    await until(`revision ${revision} to be in force everywhere`, convergeTimeoutMs, async () => {
        const all = await Promise.all(cluster.entries.map(({ ports }) => operate(ports.operators, "/v1/status")));
        return all.every(status => (status as Status).config.revision >= revision);
    });
    return systemTimer.nowMs();
}

async function callAll(
    cluster: ProcessCluster,
    random: () => number,
    tallies: Tallies,
    phaseNow: () => Phase,
    seconds: number,
): Promise<void> {
    const running: Promise<void>[] = [];
    const startMs = systemTimer.nowMs();
    let dueMs = 0;
    for (let index = 0; dueMs < seconds * 1_000; index++) {
        dueMs += -Math.log(1 - random()) * 1_000 / (callsPerZoneAndSecond * zoneNames.length);
        const entry = cluster.entries[Math.floor(random() * cluster.entries.length)]!;
        await sleep(systemTimer, Math.max(0, startMs + dueMs - systemTimer.nowMs()));
        const tally = tallies.get(`${entry.availabilityZone}.${phaseNow()}`)!;
        running.push(callOne(entry.port, index, tally));
    }
    await Promise.all(running);
}

async function callOne(port: number, index: number, tally: Tally): Promise<void> {
    const messages = [{ role: "user", content: `Dropper ${index} is frayed.` }];
    const { whole, status, errorCode, firstTokenMs } = await callChat({ port, messages, maxTokens: tokens });
    tally.calls++;
    tally.answered += whole ? 1 : 0;
    tally.refused += status === 429 || status === 503 ? 1 : 0;
    tally.failed += whole || status === 429 || status === 503 ? 0 : 1;
    if (!whole) {
        const code = errorCode ?? `status${status}`;
        tally.codes.set(code, (tally.codes.get(code) ?? 0) + 1);
    }
    if (firstTokenMs !== undefined) {
        tally.firstToken.recordValue(Math.round(firstTokenMs));
    }
}

function makeTally(): Tally {
    return { calls: 0, answered: 0, refused: 0, failed: 0, firstToken: build(), codes: new Map() };
}

function figuresOf(tallies: Tallies): Record<string, number> {
    return Object.fromEntries([...tallies].flatMap(([name, { calls, answered, refused, failed, firstToken }]) => [
        [`${name}.calls`, calls],
        [`${name}.successShare`, calls === 0 ? 0 : answered / calls],
        [`${name}.refusedCalls`, refused],
        [`${name}.failedCalls`, failed],
        [`${name}.firstTokenP50Ms`, firstToken.getValueAtPercentile(50)],
        [`${name}.firstTokenP95Ms`, firstToken.getValueAtPercentile(95)],
    ]));
}
