/** A fleet of engine instances with its planner, in virtual time. */
import { type EngineGroup, type EngineOrder, type WeightLoad } from "@rattanquay/schema";
import { type AddressedEngineOrder, type GroupPlanner, makeGroupPlanner } from "../index";
import { FakeEngines, services } from "./fakeEngines";

export const tickMs = 60;
const options = { stallMs: 4_000, loadWindowMs: 5_000 };

/** A fleet with its planner, and orders that may get lost or come late. */
export class Fleet {
    readonly engines = new FakeEngines();
    readonly rows = new Map<string, EngineGroup>();
    loads: readonly WeightLoad[] = [];
    planner: GroupPlanner = makeGroupPlanner(options);
    fence = 1;
    hasTraffic = false;
    loseOrder: () => "no" | "lost" | "late" = () => "no";
    /** Whether what is cut off is so from every process, and not only from the planner. */
    cutsPartFromAll = false;
    readonly sentOrders: EngineOrder[] = [];
    readonly late: { readonly atMs: number; readonly addressed: AddressedEngineOrder }[] = [];

    constructor(domains: number, perDomain: number) {
        for (let domain = 0; domain < domains; domain++) {
            for (let index = 0; index < perDomain; index++) {
                this.engines.add(`i${domain}-${index}`, `d${domain}`);
            }
        }
    }

    run(ms: number): void {
        for (let passed = 0; passed < ms; passed += tickMs) {
            this.engines.advance(tickMs);
            this.late.splice(0).forEach(entry =>
                entry.atMs <= this.engines.nowMs
                    ? this.engines.orderLate(entry.addressed.upstream.id, entry.addressed.order)
                    : this.late.push(entry)
            );
            this.tick();
        }
    }

    /** Another process takes the lease over: it knows the rows and nothing else. */
    changeHolder(): void {
        this.fence++;
        this.planner = makeGroupPlanner(options);
        this.planner.beginTerm(this.loads, this.engines.nowMs);
    }

    private tick(): void {
        const plan = this.planner.plan({
            nowMs: this.engines.nowMs,
            services,
            upstreams: this.engines.records(),
            groups: [...this.rows.values()],
            unreachable: this.engines.unreachable(),
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
        const fate = this.loseOrder();
        const { upstream, order } = addressed;
        this.sentOrders.push(order);
        if (fate === "no") {
            const result = this.engines.order(upstream.id, order);
            const isHidden = this.cutsPartFromAll || !this.engines.isCutOff(upstream.id);
            const witnesses = result === "unanswered" && isHidden ? 5 : 0;
            this.planner.noteOrder(addressed, { result, witnesses }, this.engines.nowMs);
            return;
        }
        if (fate === "late") {
            this.late.push({ atMs: this.engines.nowMs + 5_000, addressed });
        }
        this.planner.noteOrder(addressed, { result: "unanswered", witnesses: 0 }, this.engines.nowMs);
    }
}

export const started = (domains: number, perDomain: number): Fleet => {
    const fleet = new Fleet(domains, perDomain);
    fleet.run(40_000);
    fleet.hasTraffic = true;
    return fleet;
};

/** The id of a member of the first group of a model. */
export const memberOf = (fleet: Fleet, model: string, rank: number): string =>
    [...fleet.rows.values()].find(group => group.model === model)!.members[rank]!.id;
