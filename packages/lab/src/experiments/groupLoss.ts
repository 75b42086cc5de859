/**
 * What the loss of instances costs under each policy: one instance, five, a whole fabric domain, in virtual time, with
 * the real decisions against fake engines that do not report a lost member themselves.
 */
import { breakUps, loadOrders, repairOrders, spareChoices, type ZoneControlOptions } from "@rattanquay/core";
import { FakeZone, fakeZoneName } from "../fakes";
import { type Experiment, type Figures, parseExperimentArgs, printResult } from "./experiment";

type Policies = Partial<ZoneControlOptions["policies"]>;

const policiesByName: Readonly<Record<string, Policies>> = {
    chosen: {},
    firstFit: { spareChoice: spareChoices.firstFit },
    neverBreakUp: { breakUp: breakUps.never },
    firstDeclared: { repairOrder: repairOrders.firstDeclared },
    firstFormed: { loadOrder: loadOrders.firstFormed },
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
const settleMs = 45_000;
const observeMs = 40_000;
const stepMs = 50;
const seedsPerCase = 3;

const losses: Readonly<Record<string, (zone: FakeZone) => readonly string[]>> = {
    oneInstance: zone => busy(zone).slice(0, 1),
    fiveInstances: zone => scattered(zone, 5),
    domain: zone => busy(zone).filter(name => name.startsWith("d1-")),
};

function busy(zone: FakeZone): readonly string[] {
    return zone.groups().flatMap(group => group.members.map(member => member.instance));
}

function scattered(zone: FakeZone, count: number): readonly string[] {
    const names = [...busy(zone)];
    return Array.from({ length: count }, () => names.splice(Math.floor(zone.random() * names.length), 1)[0]!);
}

/** What one run showed. */
type Sighting = {
    readonly lostGroups: number;
    readonly outOfServiceMs: number;
    /** When each replica that could come back had come back, counted from the loss. */
    readonly restoredMs: readonly number[];
    readonly restorable: number;
    readonly smallServiceDownMs: number;
    readonly stranded: number;
    readonly bestStranded: number;
    readonly boundMs: readonly number[];
};

function run(seed: number, policies: Policies, lose: (zone: FakeZone) => readonly string[]): Sighting {
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
        enginesWatch: false,
    });
    zone.declareAlso(smallService, {
        groupSize: smallGroupSize,
        replicas: { [fakeZoneName]: smallReplicas },
        priority: 9,
    });
    zone.timer.advance(settleMs);
    const before = zone.trulyServing();
    const lost = lose(zone);
    lost.forEach(name => zone.engines.get(name)!.kill());
    const broken = before.filter(group => group.members.some(member => lost.includes(member.instance)));
    const lostAtMs = zone.timer.nowMs();
    const restoredMs: number[] = [];
    let outOfServiceMs = 0;
    let smallServiceDownMs = 0;
    while (zone.timer.nowMs() < lostAtMs + observeMs) {
        zone.timer.advance(stepMs);
        const sinceMs = zone.timer.nowMs() - lostAtMs;
        const given = zone.controllers.some(({ standings }) =>
            broken.some(({ group }) => standings.get(group)?.kind === "serving")
        );
        outOfServiceMs = given ? sinceMs : outOfServiceMs;
        const serving = zone.trulyServing();
        const restored = serving.length - (before.length - broken.length);
        restoredMs.push(...Array.from({ length: Math.max(0, restored - restoredMs.length) }, () => sinceMs));
        smallServiceDownMs += serving.filter(({ service }) => service === smallService).length < smallReplicas
            ? stepMs
            : 0;
    }
    return {
        lostGroups: broken.length,
        outOfServiceMs,
        restoredMs,
        smallServiceDownMs,
        ...best(zone, before.length, broken, lost.length),
    };
}

/** The best that any policy could reach: whole groups in each domain, loaded as fast as the weight store allows. */
function best(zone: FakeZone, declared: number, broken: readonly unknown[], lost: number) {
    const live = [...zone.engines.values()].filter(engine => engine.alive);
    const perDomain = Array.from(
        { length: domains },
        (unused, domain) => live.filter(engine => engine.options.fabricDomain === `d${domain}`).length,
    );
    const { groups, instances } = bestPacking(perDomain, smallReplicas, { groups: 0, large: 0 });
    const restorable = Math.max(0, groups - (declared - broken.length));
    const fetchedPerGroup = Math.max(1, Math.floor(lost / Math.max(1, broken.length)));
    const used = zone.trulyServing().reduce((sum, group) => sum + group.members.length, 0);
    return {
        restorable,
        boundMs: Array.from(
            { length: restorable },
            (unused, index) => (index + 1) * fetchedPerGroup * weightsMs + loadMs,
        ),
        stranded: live.length - used,
        bestStranded: live.length - instances,
    };
}

type Packing = { readonly groups: number; readonly instances: number };

/** Tries every way to share the small groups out over the domains, and fills the rest with large ones. */
function bestPacking(
    [free, ...others]: readonly number[],
    small: number,
    taken: { readonly groups: number; readonly large: number },
): Packing {
    if (free === undefined) {
        const large = Math.min(replicas, taken.large);
        return { groups: taken.groups + large, instances: taken.groups * smallGroupSize + large * groupSize };
    }
    const most = Math.min(small, Math.floor(free / smallGroupSize));
    const ways = Array.from({ length: most + 1 }, (unused, here) =>
        bestPacking(others, small - here, {
            groups: taken.groups + here,
            large: taken.large + Math.floor((free - here * smallGroupSize) / groupSize),
        }));
    return ways.reduce((best, way) => way.instances > best.instances ? way : best);
}

const mean = (values: readonly number[]): number =>
    values.length === 0 ? 0 : Math.round(values.reduce((sum, value) => sum + value, 0) / values.length);

function figuresOf(name: string, sightings: readonly Sighting[]): Record<string, number> {
    const restored = sightings.flatMap(sighting => sighting.restoredMs);
    const overLoadMs = sightings.flatMap(({ restoredMs, outOfServiceMs, boundMs }) =>
        restoredMs.map((atMs, index) => atMs - outOfServiceMs - (boundMs[index] ?? atMs))
    );
    return {
        [`${name}LostGroups`]: mean(sightings.map(sighting => sighting.lostGroups)),
        [`${name}OutOfServiceWorstMs`]: Math.max(...sightings.map(sighting => sighting.outOfServiceMs)),
        [`${name}DowntimeMeanMs`]: mean(restored),
        [`${name}DowntimeWorstMs`]: Math.max(0, ...restored),
        [`${name}BoundMeanMs`]: mean(sightings.flatMap(sighting => sighting.boundMs)),
        [`${name}OverDetectionAndLoadWorstMs`]: Math.max(0, ...overLoadMs),
        [`${name}NotRestoredGroups`]: sightings.reduce(
            (sum, { restorable, restoredMs }) => sum + Math.max(0, restorable - restoredMs.length),
            0,
        ),
        [`${name}SmallServiceDownMeanMs`]: mean(sightings.map(sighting => sighting.smallServiceDownMs)),
        [`${name}StrandedInstances`]: Math.max(...sightings.map(sighting => sighting.stranded)),
        [`${name}BestPackingStrandedInstances`]: Math.max(...sightings.map(sighting => sighting.bestStranded)),
    };
}

export const groupLoss: Experiment = async args => {
    const { seed, policy } = parseExperimentArgs(args);
    const chosen = Object.entries(policiesByName).filter(([name]) => policy === undefined || policy === name);
    const figures: Figures = Object.fromEntries(chosen.map(([name, policies]) => {
        const parts = Object.entries(losses).map(([loss, lose]) => {
            const sightings = Array.from(
                { length: seedsPerCase },
                (unused, index) => run(seed * 1_000 + index, policies, lose),
            );
            return figuresOf(loss, sightings);
        });
        return [name, Object.assign({}, ...parts) as Record<string, number>];
    }));
    printResult("group-loss", seed, figures);
    return 0;
};
