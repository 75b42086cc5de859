/** Runs a group planner against simulated engine instances in virtual time. */
import { type EngineGroup, type EngineOrder, type WeightLoad } from "@rattanquay/schema";
import { type AddressedEngineOrder, type GroupPlanner, makeGroupPlanner } from "../index";
import { FakeEngines, services, stallMs } from "./fakeEngines";

export const tickMs = 60;
const options = { stallMs, loadWindowMs: 5_000 };

/** Engine instances and their planner, with orders that can be lost or delayed. */
export class Fleet {
    readonly engines = new FakeEngines();
    readonly rows = new Map<string, EngineGroup>();
    loads: readonly WeightLoad[] = [];
    planner: GroupPlanner = makeGroupPlanner(options);
    fence = 1;
    hasTraffic = false;
    evacuatedZones: ReadonlySet<string> = new Set();
    deliveryFault: () => "no" | "lost" | "late" = () => "no";
    /** Whether a partition isolates instances from every process, and not only from the planner. */
    partitionsIsolateFully = false;
    readonly sentOrders: EngineOrder[] = [];
    readonly lateOrders: { readonly atMs: number; readonly addressed: AddressedEngineOrder }[] = [];

    /** The instances of domain n are in the zone `zones[n]`, or in "a". */
    constructor(domains: number, perDomain: number, zones: readonly string[] = []) {
        for (let domain = 0; domain < domains; domain++) {
            for (let index = 0; index < perDomain; index++) {
                this.engines.add(`i${domain}-${index}`, `d${domain}`, zones[domain]);
            }
        }
    }

    run(ms: number): void {
        for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += tickMs) {
            this.engines.advance(tickMs);
            this.lateOrders.splice(0).forEach(entry =>
                entry.atMs <= this.engines.nowMs
                    ? this.engines.executeLate(entry.addressed.upstream.id, entry.addressed.order)
                    : this.lateOrders.push(entry)
            );
            this.tick();
        }
    }

    /** Hands the lease over to another process, which knows only the rows and the stored loads. */
    changeHolder(): void {
        this.fence++;
        this.planner = makeGroupPlanner(options);
        this.planner.startTerm(this.loads, this.engines.nowMs);
    }

    private tick(): void {
        const plan = this.planner.plan({
            nowMs: this.engines.nowMs,
            services,
            upstreams: this.engines.records(),
            groups: [...this.rows.values()],
            unreachable: this.engines.unreachable(),
            evacuatedZones: this.evacuatedZones,
            utilization: new Map(),
            hasTraffic: this.hasTraffic,
            fence: this.fence,
        });
        this.loads = plan.loads ?? this.loads;
        plan.rewrite.forEach(group => this.rows.set(group.group, group));
        plan.form.forEach(group => this.rows.set(group.group, group));
        plan.remove.forEach(({ group }) => this.rows.delete(group.group));
        plan.orders.forEach(addressed => this.send(addressed));
    }

    private send(addressed: AddressedEngineOrder): void {
        const fault = this.deliveryFault();
        const { upstream, order } = addressed;
        this.sentOrders.push(order);
        if (fault === "no") {
            const result = this.engines.order(upstream.id, order);
            const isHiddenFromWitnesses = this.partitionsIsolateFully || !this.engines.isPartitioned(upstream.id);
            const witnesses = result === "unanswered" && isHiddenFromWitnesses ? 5 : 0;
            this.planner.noteOrderOutcome(addressed, { result, witnesses }, this.engines.nowMs);
            return;
        }
        if (fault === "late") {
            this.lateOrders.push({ atMs: this.engines.nowMs + 5_000, addressed });
        }
        this.planner.noteOrderOutcome(addressed, { result: "unanswered", witnesses: 0 }, this.engines.nowMs);
    }
}

export const makeStartedFleet = (domains: number, perDomain: number, zones?: readonly string[]): Fleet => {
    const fleet = new Fleet(domains, perDomain, zones);
    fleet.run(40_000);
    fleet.hasTraffic = true;
    return fleet;
};

/** The id of the member with the given rank in a model's first group. */
export const memberOf = (fleet: Fleet, model: string, rank: number): string =>
    [...fleet.rows.values()].find(group => group.model === model)!.members[rank]!.id;
