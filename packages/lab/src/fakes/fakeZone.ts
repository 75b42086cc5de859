/** A zone in virtual time: several controllers, one table and many engines, with faults on demand. */
import {
    breakUpPolicies,
    emptySnapshot,
    loadOrderPolicies,
    repairOrderPolicies,
    rolloutPolicies,
    type Snapshot,
    spareSelectionPolicies,
    type ZoneControlOptions,
} from "@rattanquay/core";
import { GroupRow, type Instance, InstanceRow, type ModelService, Service, zonePartition } from "@rattanquay/schema";
import { VirtualTimer } from "@rattanquay/timer";
import { unsafeUniformIntDistribution, xoroshiro128plus } from "pure-rand";
import { FakeController, type TableFault } from "./fakeController";
import { FakeEngine } from "./fakeEngine";
import { FakeTable } from "./fakeTable";

export type FakeZoneSpec = {
    readonly seed: number;
    readonly controllers: number;
    readonly domains: number;
    readonly instancesPerDomain: number;
    readonly groupSize: number;
    readonly replicas: number;
    readonly loadMs: number;
    /** How long the weight store takes to deliver one instance's weights. It serves one instance at a time. */
    readonly weightsMs: number;
    /** The share of engines that refuse orders with an old fencing number. */
    readonly fencingShare: number;
    readonly listLagMs: number;
    /** Whether ready engines check the other members of their group and report its failure. Defaults to true. */
    readonly enginesCheckMembers?: boolean;
    readonly policies?: Partial<ZoneControlOptions["policies"]>;
};

export const fakeZoneName = "zone-a";
export const fakeService = "assistant";
const memberCheckIntervalMs = 100;
const evidenceMaxAgeMs = 1_000;
const leaseMs = 3_000;

export const defaultPolicies: ZoneControlOptions["policies"] = {
    repairOrder: repairOrderPolicies.mostLacking,
    spareChoice: spareSelectionPolicies.bestFit,
    breakUp: breakUpPolicies.whenUseful,
    rollout: rolloutPolicies.surgeFirst,
    loadOrder: loadOrderPolicies.cachedThenMostLacking,
};

/** Returns a generator of numbers in [0, 1) that is determined by the seed. */
export function seededRandom(seed: number): () => number {
    const generator = xoroshiro128plus(seed);
    const range = 2 ** 24;
    return () => unsafeUniformIntDistribution(0, range - 1, generator) / range;
}

export class FakeZone {
    readonly timer = new VirtualTimer();
    readonly table = new FakeTable();
    readonly engines = new Map<string, FakeEngine>();
    readonly controllers: FakeController[] = [];
    /** The invariants that were found broken, oldest first. */
    readonly violations: string[] = [];
    readonly random: () => number;
    fault: TableFault = { down: false, slowMs: 0, loseAnswers: 0 };
    orderDelayMs = 5;
    /** Delays the next change of groups by this much, once. */
    nextChangeDelayMs = 0;
    snapshot: Snapshot;
    private listed: readonly Instance[] = [];
    private readonly leaving = new Set<string>();
    /** How often an instance has fetched weights from the weight store. */
    weightFetchCount = 0;
    private weightStoreFreeAtMs = 0;

    constructor(readonly spec: FakeZoneSpec) {
        this.random = seededRandom(spec.seed);
        this.snapshot = { ...emptySnapshot, revision: 1 };
        this.declare({});
        for (let domain = 0; domain < spec.domains; domain++) {
            for (let index = 0; index < spec.instancesPerDomain; index++) {
                this.addEngine(`d${domain}-i${index}`, `d${domain}`);
            }
        }
        this.publishList();
        if (spec.enginesCheckMembers !== false) {
            this.timer.every(
                memberCheckIntervalMs,
                () => this.engines.forEach(engine => engine.checkMembers(key => this.engines.get(key))),
            );
        }
        Array.from({ length: spec.controllers }, (unused, index) => this.startController(`entry-${index}`));
    }

    /** Declares the service again with `change` applied, such as another version, group size or replica count. */
    declare(change: Partial<ModelService>): void {
        const { groupSize, replicas } = this.spec;
        const before = this.snapshot.services.get(fakeService) ?? Service.parse({
            kind: "model",
            model: "stand-in",
            version: "v1",
            replicas: { [fakeZoneName]: replicas },
            groupSize,
        });
        const changed = { ...before, ...change } as ModelService;
        const services = new Map([...this.snapshot.services, [fakeService, changed] as const]);
        this.snapshot = { ...this.snapshot, revision: this.snapshot.revision + 1, services };
    }

    /** Declares a further model service. */
    addService(name: string, declared: Pick<ModelService, "groupSize" | "replicas" | "priority">): void {
        const service = Service.parse({ kind: "model", model: name, version: "v1", ...declared });
        const services = new Map([...this.snapshot.services, [name, service] as const]);
        this.snapshot = { ...this.snapshot, revision: this.snapshot.revision + 1, services };
    }

    /** Declares a recall of these instances under `name`; with no instances, withdraws it. */
    recall(name: string, instances: readonly string[]): void {
        const recalls = new Map(this.snapshot.recalls);
        if (instances.length === 0) {
            recalls.delete(name);
        }
        else {
            recalls.set(name, { kind: "instances", instances: [...instances] });
        }
        this.snapshot = { ...this.snapshot, revision: this.snapshot.revision + 1, recalls };
    }

    /** Marks the instance as leaving; the list shows it after `listLagMs`. */
    leave(instance: string): void {
        this.leaving.add(instance);
        this.timer.after(this.spec.listLagMs, () => this.publishList());
    }

    restartController(index: number): void {
        const old = this.controllers[index]!;
        old.stop();
        this.controllers[index] = this.makeController(old.name);
    }

    /** Instances that are actually leaving or live, whatever the lagging list shows. */
    instancesInState(state: Instance["state"]): readonly string[] {
        return [...this.engines.keys()].filter(name => this.leaving.has(name) === (state === "leaving"));
    }

    groups(): readonly GroupRow[] {
        const rows = this.table.list(zonePartition(fakeZoneName));
        return rows.filter(row => row.key.startsWith("group/")).map(row => GroupRow.parse(row.body));
    }

    /** Active groups whose members are all actually ready for the group and have not restarted since it was formed. */
    servingGroups(): readonly GroupRow[] {
        return this.groups().filter(group =>
            group.state === "active" && group.members.every(({ instance, bootId }) => {
                const engine = this.engines.get(instance);
                return engine !== undefined && !engine.paused && engine.isReady && engine.group === group.group
                    && engine.bootId() === bootId;
            })
        );
    }

    private startController(name: string): void {
        this.controllers.push(this.makeController(name));
    }

    private makeController(name: string): FakeController {
        const clock = { offsetMs: Math.floor(this.random() * 1_000_000), rate: 0.95 + this.random() * 0.1 };
        return new FakeController(name, {
            timer: this.timer,
            table: this.table,
            random: this.random,
            engines: this.engines,
            listed: () => this.listed,
            snapshot: () => this.snapshot,
            fault: () => this.fault,
            orderDelayMs: () => this.orderDelayMs * (0.5 + this.random()),
            changeDelayMs: () => {
                const delayMs = this.nextChangeDelayMs;
                this.nextChangeDelayMs = 0;
                return delayMs;
            },
            onGroupsChanged: fence => this.checkGroupChange(fence),
            onJudged: controller => this.checkServingGroups(controller),
            entryCount: this.spec.controllers,
            control: {
                holder: name,
                availabilityZone: fakeZoneName,
                leaseMs,
                evidenceMaxAgeMs,
                policies: { ...defaultPolicies, ...this.spec.policies },
            },
        }, clock);
    }

    private addEngine(instance: string, fabricDomain: string): void {
        const { timer, spec } = this;
        const fetchWeights = (): number => {
            this.weightFetchCount++;
            this.weightStoreFreeAtMs = Math.max(this.weightStoreFreeAtMs, timer.nowMs()) + spec.weightsMs;
            return this.weightStoreFreeAtMs;
        };
        const checksFence = this.random() < spec.fencingShare;
        const { loadMs } = spec;
        this.engines.set(
            instance,
            new FakeEngine({ instance, fabricDomain, checksFence, loadMs, fetchWeights, timer }),
        );
    }

    private publishList(): void {
        this.listed = [...this.engines.values()].map(({ instance, options: { fabricDomain } }) => ({
            instance,
            address: instance,
            availabilityZone: fakeZoneName,
            fabricDomain,
            state: this.leaving.has(instance) ? "leaving" : "live",
        }));
    }

    /** Checks that only the lease holder writes, no instance is in two groups, and owner rows match the groups. */
    private checkGroupChange(writerFence: number | undefined): void {
        const lease = this.table.read({ partition: "lease", key: fakeZoneName });
        if (lease?.fence !== writerFence) {
            this.violations.push(`a writer with fence ${writerFence} changed groups under lease ${lease?.fence}`);
        }
        const members = this.groups().flatMap(group => group.members.map(member => [member.instance, group] as const));
        const owners = new Map<string, string>();
        for (const [instance, { group }] of members) {
            if (owners.has(instance)) {
                this.violations.push(`${instance} is in ${owners.get(instance)} and ${group}`);
            }
            owners.set(instance, group);
        }
        for (const row of this.table.list(zonePartition(fakeZoneName))) {
            if (row.key.startsWith("instance/")) {
                const { instance, group } = InstanceRow.parse(row.body);
                if (owners.get(instance) !== group) {
                    this.violations.push(`${instance} is owned by ${group} and a member of ${owners.get(instance)}`);
                }
            }
        }
    }

    /**
     * Checks that at most one process may act under the lease, and that each group that this controller counts as
     * serving had all members ready within the maximum age of evidence, with a margin of 10%.
     */
    private checkServingGroups(controller: FakeController): void {
        const leaseHolders = this.controllers.filter(other => other.mayAct());
        if (leaseHolders.length > 1) {
            this.violations.push(`${leaseHolders.map(({ name }) => name).join(" and ")} hold the lease at once`);
        }
        const sinceMs = this.timer.nowMs() - evidenceMaxAgeMs * 1.1;
        for (const group of controller.groups) {
            if (controller.groupStatuses.get(group.group)?.kind !== "serving") {
                continue;
            }
            const unready = group.members.find(({ instance, bootId }) => {
                const engine = this.engines.get(instance)!;
                const isReady = engine.isReady && engine.group === group.group && engine.bootId() === bootId;
                return !isReady && engine.stateChangedAtMs < sinceMs;
            });
            if (unready !== undefined) {
                this.violations.push(`${controller.name} serves ${group.group} while ${unready.instance} is not ready`);
            }
        }
    }
}
