/**
 * Measures the service downtime after losing one instance, five instances or a whole fabric domain, under each policy.
 * Runs in virtual time: the decisions are those of the real controllers, the engines are fakes that do not report a
 * lost member.
 */
import {
    breakUpPolicies,
    loadOrderPolicies,
    repairOrderPolicies,
    spareSelectionPolicies,
    type ZoneControlOptions,
} from "@rattanquay/core";
import { FakeZone, fakeZoneName } from "../fakes";
import { type Experiment, type Figures, parseExperimentArgs, printResult } from "./experiment";

type Policies = Partial<ZoneControlOptions["policies"]>;

const policiesByName: Readonly<Record<string, Policies>> = {
    chosen: {},
    firstFit: { spareChoice: spareSelectionPolicies.firstFit },
    neverBreakUp: { breakUp: breakUpPolicies.never },
    firstDeclared: { repairOrder: repairOrderPolicies.firstDeclared },
    firstFormed: { loadOrder: loadOrderPolicies.firstFormed },
};

const groupSize = 4;
const replicas = 14;
const smallService = "dispatch";
const smallGroupSize = 2;
const smallReplicas = 3;
const domains = 4;
const instancesPerDomain = 18;
const loadMs = 2_000;
const weightsMs = 300;
const listLagMs = 15_000;
const warmUpMs = 45_000;
const observationMs = 40_000;
const stepMs = 50;
const seedsPerCase = 3;

const lossScenarios: Readonly<Record<string, (zone: FakeZone) => readonly string[]>> = {
    oneInstance: zone => groupMembers(zone).slice(0, 1),
    fiveInstances: zone => randomMembers(zone, 5),
    domain: zone => groupMembers(zone).filter(name => name.startsWith("d1-")),
};

function groupMembers(zone: FakeZone): readonly string[] {
    return zone.groups().flatMap(group => group.members.map(member => member.instance));
}

function randomMembers(zone: FakeZone, count: number): readonly string[] {
    const names = [...groupMembers(zone)];
    return Array.from({ length: count }, () => names.splice(Math.floor(zone.random() * names.length), 1)[0]!);
}

/** Measurements of one run. */
type RunResult = {
    readonly lostGroups: number;
    /** How long after the loss a controller still listed a broken group as serving. */
    readonly outOfServiceMs: number;
    /** The time from the loss until each restored replica was serving again. */
    readonly restoreTimesMs: readonly number[];
    /** How many replicas the best packing of the live instances could restore. */
    readonly restorable: number;
    readonly smallServiceDownMs: number;
    /** Live instances that belong to no serving group at the end, and how many the best packing would leave. */
    readonly stranded: number;
    readonly bestStranded: number;
    /**
     * A lower bound of the restore time of each restorable replica, without detection, at the rate of the weight store.
     */
    readonly minRestoreMs: readonly number[];
    /** The time to fetch all weights that were fetched after the loss one after the other, plus one load. */
    readonly actualLoadMs: number;
};

function run(seed: number, policies: Policies, selectLost: (zone: FakeZone) => readonly string[]): RunResult {
    const zone = new FakeZone({
        seed,
        policies,
        controllers: 3,
        domains,
        instancesPerDomain,
        groupSize,
        replicas,
        loadMs,
        weightsMs,
        fencingShare: 0.5,
        listLagMs,
        enginesCheckMembers: false,
    });
    zone.addService(smallService, {
        groupSize: smallGroupSize,
        replicas: { [fakeZoneName]: smallReplicas },
        priority: 9,
    });
    zone.timer.advance(warmUpMs);
    const servingBefore = zone.servingGroups();
    const lost = selectLost(zone);
    lost.forEach(name => zone.engines.get(name)!.kill());
    const brokenGroups = servingBefore.filter(group => group.members.some(member => lost.includes(member.instance)));
    const lostAtMs = zone.timer.nowMs();
    const fetchedBefore = zone.weightFetchCount;
    const restoreTimesMs: number[] = [];
    let outOfServiceMs = 0;
    let smallServiceDownMs = 0;
    while (zone.timer.nowMs() < lostAtMs + observationMs) {
        zone.timer.advance(stepMs);
        const sinceMs = zone.timer.nowMs() - lostAtMs;
        const isStillListed = zone.controllers.some(({ groupStatuses }) =>
            brokenGroups.some(({ group }) => groupStatuses.get(group)?.kind === "serving")
        );
        outOfServiceMs = isStillListed ? sinceMs : outOfServiceMs;
        const serving = zone.servingGroups();
        const restored = serving.length - (servingBefore.length - brokenGroups.length);
        restoreTimesMs.push(...Array.from({ length: Math.max(0, restored - restoreTimesMs.length) }, () => sinceMs));
        smallServiceDownMs += serving.filter(({ service }) => service === smallService).length < smallReplicas
            ? stepMs
            : 0;
    }
    return {
        lostGroups: brokenGroups.length,
        outOfServiceMs,
        restoreTimesMs,
        smallServiceDownMs,
        actualLoadMs: (zone.weightFetchCount - fetchedBefore) * weightsMs + loadMs,
        ...computeBounds(zone, servingBefore.length, brokenGroups, lost.length),
    };
}

/**
 * Bounds for any policy: complete groups packed into the domains, with weights fetched as fast as the weight store
 * allows.
 */
function computeBounds(zone: FakeZone, declared: number, brokenGroups: readonly unknown[], lost: number) {
    const live = [...zone.engines.values()].filter(engine => engine.alive);
    const perDomain = Array.from(
        { length: domains },
        (unused, domain) => live.filter(engine => engine.options.fabricDomain === `d${domain}`).length,
    );
    const { groups, instances } = bestPacking(perDomain, smallReplicas, { groups: 0, large: 0 });
    const restorable = Math.max(0, groups - (declared - brokenGroups.length));
    const fetchedPerGroup = Math.max(1, Math.floor(lost / Math.max(1, brokenGroups.length)));
    const used = zone.servingGroups().reduce((sum, group) => sum + group.members.length, 0);
    return {
        restorable,
        minRestoreMs: Array.from(
            { length: restorable },
            (unused, index) => (index + 1) * fetchedPerGroup * weightsMs + loadMs,
        ),
        stranded: live.length - used,
        bestStranded: live.length - instances,
    };
}

type Packing = { readonly groups: number; readonly instances: number };

/**
 * Tries every distribution of the small groups over the domains and fills the remaining instances with large groups.
 */
function bestPacking(
    [free, ...others]: readonly number[],
    small: number,
    placed: { readonly groups: number; readonly large: number },
): Packing {
    if (free === undefined) {
        const large = Math.min(replicas, placed.large);
        return { groups: placed.groups + large, instances: placed.groups * smallGroupSize + large * groupSize };
    }
    const most = Math.min(small, Math.floor(free / smallGroupSize));
    const packings = Array.from({ length: most + 1 }, (unused, here) =>
        bestPacking(others, small - here, {
            groups: placed.groups + here,
            large: placed.large + Math.floor((free - here * smallGroupSize) / groupSize),
        }));
    return packings.reduce((best, packing) => packing.instances > best.instances ? packing : best);
}

const mean = (values: readonly number[]): number =>
    values.length === 0 ? 0 : Math.round(values.reduce((sum, value) => sum + value, 0) / values.length);

function figuresOf(name: string, results: readonly RunResult[]): Record<string, number> {
    const restored = results.flatMap(result => result.restoreTimesMs);
    const overBoundMs = results.flatMap(({ restoreTimesMs, outOfServiceMs, minRestoreMs }) =>
        restoreTimesMs.map((atMs, index) => atMs - outOfServiceMs - (minRestoreMs[index] ?? atMs))
    );
    return {
        [`${name}LostGroups`]: mean(results.map(result => result.lostGroups)),
        [`${name}OutOfServiceWorstMs`]: Math.max(...results.map(result => result.outOfServiceMs)),
        [`${name}DowntimeMeanMs`]: mean(restored),
        [`${name}DowntimeWorstMs`]: Math.max(0, ...restored),
        [`${name}BoundMeanMs`]: mean(results.flatMap(result => result.minRestoreMs)),
        [`${name}OverDetectionAndLoadWorstMs`]: Math.max(0, ...overBoundMs),
        [`${name}OverDetectionAndOwnLoadWorstMs`]: Math.max(
            0,
            ...results.map(({ restoreTimesMs, outOfServiceMs, actualLoadMs }) =>
                (restoreTimesMs.at(-1) ?? 0) - outOfServiceMs - actualLoadMs
            ),
        ),
        [`${name}NotRestoredGroups`]: results.reduce(
            (sum, { restorable, restoreTimesMs }) => sum + Math.max(0, restorable - restoreTimesMs.length),
            0,
        ),
        [`${name}SmallServiceDownMeanMs`]: mean(results.map(result => result.smallServiceDownMs)),
        [`${name}StrandedInstances`]: Math.max(...results.map(result => result.stranded)),
        [`${name}BestPackingStrandedInstances`]: Math.max(...results.map(result => result.bestStranded)),
    };
}

export const groupLoss: Experiment = async args => {
    const { seed, policy } = parseExperimentArgs(args);
    const chosen = Object.entries(policiesByName).filter(([name]) => policy === undefined || policy === name);
    const figures: Figures = Object.fromEntries(chosen.map(([name, policies]) => {
        const parts = Object.entries(lossScenarios).map(([loss, selectLost]) => {
            const results = Array.from(
                { length: seedsPerCase },
                (unused, index) => run(seed * 1_000 + index, policies, selectLost),
            );
            return figuresOf(loss, results);
        });
        return [name, Object.assign({}, ...parts) as Record<string, number>];
    }));
    printResult("group-loss", seed, figures);
    return 0;
};
