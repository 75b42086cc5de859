/**
 * Plans the engine groups while this process holds the lease: rows first, then orders, then looks at what became of them.
 *
 * Without the lease it does nothing but wait for it. With it, it first reads the groups that stand in the store, so that a
 * restart of every process takes over what serves.
 */
import {
    type AddressedEngineOrder,
    type GroupPlan,
    type GroupPlanner,
    makeGroupPlanner,
} from "@rattanquay/core";
import { EngineGroup, type EngineOrder, type UpstreamRecord } from "@rattanquay/schema";
import { startTask } from "@rattanquay/task";
import { type Beliefs } from "../beliefs";
import { type PassedOrder } from "../peers";
import { type Surroundings } from "../surroundings";
import { type LeaseKeeper, makeLeaseKeeper } from "./leaseKeeper";
import { makeProber } from "./prober";
import { groupTable } from "./tables";

export type Planning = {
    readonly isPlanner: () => boolean;
    /** Stops planning and gives the lease back. */
    readonly release: () => Promise<void>;
    readonly close: () => void;
};

type Message = { readonly kind: "tick" } | { readonly kind: "release"; readonly done: () => void };

const tickEveryMs = 60;
const orderTimeoutMs = 500;
const summaryEveryMs = 1_000;
/** Entries that one transaction may hold, less the lease's own. */
const maxRows = 90;
/** How fast the picture of the groups' load follows the reports. */
const utilizationSmoothing = 0.15;

export type PlanningOptions = {
    readonly surroundings: Surroundings;
    readonly beliefs: Beliefs;
    readonly instances: () => number;
    /** Whether callers have asked this process for anything. */
    readonly ownTraffic: () => boolean;
    /** Has others send an order that this process got no answer to. */
    readonly passOrder: (upstream: UpstreamRecord, order: EngineOrder) => Promise<PassedOrder>;
};

export function startPlanning({ surroundings, beliefs, instances, ownTraffic, passOrder }: PlanningOptions): Planning {
    const { ports, timer, log, metrics, settings, onBroken } = surroundings;
    const lease: LeaseKeeper = makeLeaseKeeper(surroundings, instances);
    const planner: GroupPlanner = makeGroupPlanner(settings.bounds);
    const prober = makeProber(ports.engines, timer, log);
    let groups: Map<string, EngineGroup> | undefined;
    let termFence = 0;
    let hasTraffic = !settings.isFirstStart;
    const utilization = new Map<string, number>();

    const takeOver = async (): Promise<void> => {
        const outcome = await ports.store.read(groupTable);
        if (outcome.kind !== "done") {
            return;
        }
        groups = new Map(outcome.value.flatMap(row => {
            const parsed = EngineGroup.safeParse(JSON.parse(row.text));
            return parsed.success ? [[parsed.data.group, parsed.data] as const] : [];
        }));
        planner.reset();
        prober.forget();
        log.info("groupsRead", { groups: groups.size, fence: lease.fence() });
    };

    /** Looks at the reports: how busy each model's groups are, and whether anybody asks anything. */
    const observe = (): void => {
        const engines = beliefs.configuration()?.services.flatMap(({ service, engine }) =>
            engine === undefined ? [] : [{ service, engine }]
        ) ?? [];
        const engineServices = new Set(engines.map(({ service }) => service));
        prober.probe([...beliefs.upstreams().values()].filter(({ service }) => engineServices.has(service)));
        const reports = [...beliefs.upstreams().values()].map(({ id }) => prober.reportOf(id));
        hasTraffic ||= ownTraffic() || reports.some(report => (report?.running ?? 0) > 0);
        for (const { engine } of engines) {
            for (const { model } of engine.models) {
                noteUtilization(model, engine.slots);
            }
        }
    };
    const noteUtilization = (model: string, slots: number): void => {
        const heads = [...beliefs.upstreams().values()].filter(({ membership, loadedModels }) =>
            membership?.state === "open" && loadedModels.includes(model)
        );
        const loads = heads.flatMap(({ id }) => {
            const report = prober.reportOf(id);
            return report === undefined ? [] : [(report.running + report.waiting) / slots];
        });
        if (loads.length === 0 || !hasTraffic) {
            return;
        }
        const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
        const before = utilization.get(model) ?? mean;
        utilization.set(model, before + (mean - before) * utilizationSmoothing);
    };

    const write = async ({ form, remove }: GroupPlan): Promise<boolean> => {
        if (form.length + remove.length === 0) {
            return true;
        }
        const outcome = await lease.writeUnder({
            expected: [],
            put: form.map(group => ({ table: groupTable, key: group.group, text: JSON.stringify(group) })),
            remove: remove.map(({ group }) => ({ table: groupTable, key: group.group })),
        });
        if (outcome.kind === "done") {
            form.forEach(group => {
                groups?.set(group.group, group);
                const { members, ...rest } = group;
                log.info("groupFormed", { ...rest, members: members.map(({ id }) => id) });
            });
            remove.forEach(({ group, reason }) => {
                groups?.delete(group.group);
                log.info("groupGivenUp", { group: group.group, model: group.model, reason });
            });
            return true;
        }
        log.warn("groupWriteFailed", { outcome: outcome.kind, form: form.length, remove: remove.length });
        // Without a clear answer the rows may stand or not: they are read again before the next plan.
        groups = undefined;
        return false;
    };

    let summaryAtMs = -Infinity;
    /** One line a second: what serves, what is free, how busy each model is. */
    const logSummary = (): void => {
        const nowMs = timer.nowMs();
        if (nowMs - summaryAtMs < summaryEveryMs || groups === undefined) {
            return;
        }
        summaryAtMs = nowMs;
        const models = [...new Set([...groups.values()].map(({ model }) => model))];
        const perModel = models.map(model => {
            const rows = [...groups!.values()].filter(group => group.model === model);
            const serving = rows.filter(({ members }) => isServing(members[0]!.id)).length;
            return { model, groups: rows.length, serving, utilization: utilization.get(model)?.toFixed(2) };
        });
        log.info("fleetSummary", {
            models: perModel,
            upstreams: beliefs.upstreams().size,
            owned: [...groups.values()].reduce((sum, { members }) => sum + members.length, 0),
            unreachable: prober.unreachable().size,
            hasTraffic,
        });
    };
    const isServing = (id: string): boolean => beliefs.upstreams().get(id)?.membership?.state === "open";

    const sendOrder = async (addressed: AddressedEngineOrder): Promise<void> => {
        const { upstream, order } = addressed;
        const { result, detail } = await ports.engines.order(upstream, order, orderTimeoutMs);
        metrics.orders.inc({ order: order.kind, result });
        const about = order.kind === "stage" ? { model: order.model } : { group: order.group };
        log.info("orderSent", { upstream: upstream.id, order: order.kind, ...about, result, detail });
        if (result !== "unanswered" || order.kind !== "leave") {
            planner.noteOrder(addressed, { result, witnesses: 0 }, timer.nowMs());
            return;
        }
        const passed = await passOrder(upstream, order);
        log.info("orderPassedOn", { upstream: upstream.id, order: order.kind, ...about, ...passed });
        planner.noteOrder(addressed, passed, timer.nowMs());
    };

    const planOnce = async (): Promise<void> => {
        const config = beliefs.configuration();
        if (groups === undefined || config === undefined || !beliefs.knowsUpstreams()) {
            return;
        }
        observe();
        logSummary();
        const plan = planner.plan({
            nowMs: timer.nowMs(),
            services: config.services,
            upstreams: beliefs.upstreams(),
            groups: [...groups.values()],
            unreachable: prober.unreachable(),
            utilization,
            hasTraffic,
            fence: lease.fence(),
        });
        const bounded = { ...plan, form: plan.form.slice(0, maxRows / 2), remove: plan.remove.slice(0, maxRows / 2) };
        if (!await write(bounded)) {
            return;
        }
        for (const addressed of plan.orders) {
            if (!lease.mayPlan()) {
                return;
            }
            void sendOrder(addressed).catch(error => onBroken("planning", error));
        }
    };

    const mailbox = startTask<Message>({
        name: "planning",
        onBroken,
        handlers: {
            tick: async () => {
                await lease.step();
                if (!lease.mayPlan()) {
                    groups = undefined;
                    return;
                }
                if (lease.fence() !== termFence || groups === undefined) {
                    termFence = lease.fence();
                    await takeOver();
                }
                await planOnce();
            },
            release: async ({ done }) => {
                await lease.release();
                done();
            },
        },
    });
    const cancel = timer.every(tickEveryMs, () => mailbox.sendIfIdle({ kind: "tick" }));
    return {
        isPlanner: lease.mayPlan,
        release: () => {
            cancel();
            return new Promise(resolve => mailbox.send({ kind: "release", done: resolve }));
        },
        close: () => {
            cancel();
            mailbox.close();
        },
    };
}
