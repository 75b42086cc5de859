/**
 * Plans the engine groups while this process holds the lease: rows first, then orders, then looks at what became of them.
 *
 * Without the lease it does nothing but wait for it. With it, it first reads the groups that stand in the store, so that a
 * restart of every process takes over what serves.
 */
import { type AddressedEngineOrder, type GroupPlanner, makeGroupPlanner } from "@rattanquay/core";
import { type EngineOrder, type UpstreamRecord } from "@rattanquay/schema";
import { startTask } from "@rattanquay/task";
import { type Beliefs } from "../beliefs";
import { type PassedOrder } from "../peers";
import { type Surroundings } from "../surroundings";
import { makeFleetWatch } from "./fleetWatch";
import { makeGroupRows } from "./groupRows";
import { makeLeaseKeeper } from "./leaseKeeper";

export type Planning = {
    readonly isPlanner: () => boolean;
    /** Stops planning and gives the lease back. */
    readonly release: () => Promise<void>;
    readonly close: () => void;
};

export type PlanningOptions = {
    readonly surroundings: Surroundings;
    readonly beliefs: Beliefs;
    readonly instances: () => number;
    /** Whether callers have asked this process for anything. */
    readonly ownTraffic: () => boolean;
    /** Has others send an order that this process got no answer to. */
    readonly passOrder: (upstream: UpstreamRecord, order: EngineOrder) => Promise<PassedOrder>;
};

type Message = { readonly kind: "tick" } | { readonly kind: "release"; readonly done: () => void };

const tickEveryMs = 60;
/** Without the lease only so many ticks are used. */
const ticksWithoutLease = 4;
const orderTimeoutMs = 500;
/** Groups formed, rewritten, and given up, in one transaction, which holds 100 entries. */
const maxRows = 32;

export function startPlanning(options: PlanningOptions): Planning {
    const { surroundings, beliefs } = options;
    const { timer, settings, onBroken } = surroundings;
    const lease = makeLeaseKeeper(surroundings, options.instances);
    const planner = makeGroupPlanner(settings.bounds);
    const rows = makeGroupRows(surroundings, lease);
    const watch = makeFleetWatch(surroundings, beliefs, options.ownTraffic);
    const sendOrder = makeOrderSender(options, planner);
    let termFence = 0;

    const readRows = async (): Promise<void> => {
        const loads = await rows.read();
        if (loads === undefined) {
            return;
        }
        if (lease.fence() === termFence) {
            planner.resume(loads);
            return;
        }
        termFence = lease.fence();
        planner.beginTerm(loads, timer.nowMs());
        watch.forget();
    };
    const planOnce = async (): Promise<void> => {
        const groups = rows.all();
        const config = beliefs.configuration();
        if (groups === undefined || config === undefined || !beliefs.knowsUpstreams()) {
            return;
        }
        watch.look();
        watch.summarize(groups);
        const plan = planner.plan({
            nowMs: timer.nowMs(),
            services: config.services,
            upstreams: beliefs.upstreams(),
            groups,
            unreachable: watch.unreachable(),
            utilization: watch.utilization(),
            hasTraffic: watch.hasTraffic(),
            fence: lease.fence(),
        });
        const { form, rewrite, remove, loads } = plan;
        const first = <T>(rowsOf: readonly T[]): readonly T[] => rowsOf.slice(0, maxRows);
        if (!await rows.write({ form: first(form), rewrite: first(rewrite), remove: first(remove), loads })) {
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
                    rows.forget();
                    return;
                }
                if (lease.fence() !== termFence || rows.all() === undefined) {
                    await readRows();
                }
                await planOnce();
            },
            release: async ({ done }) => {
                await lease.release();
                done();
            },
        },
    });
    let ticks = 0;
    const cancel = timer.every(tickEveryMs, () => {
        ticks++;
        if (lease.mayPlan() || ticks % ticksWithoutLease === 0) {
            mailbox.sendIfIdle({ kind: "tick" });
        }
    });
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

/** Sends orders; one to leave that gets no answer here is tried through others. */
function makeOrderSender({ surroundings, passOrder }: PlanningOptions, planner: GroupPlanner) {
    const { ports: { engines }, timer, log, metrics } = surroundings;
    return async (addressed: AddressedEngineOrder): Promise<void> => {
        const { upstream, order } = addressed;
        const { result, detail } = await engines.order(upstream, order, orderTimeoutMs);
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
}
