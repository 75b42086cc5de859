/**
 * Plans the engine groups while this process holds the lease: writes the rows, then sends the orders, then observes
 * their effects.
 *
 * Without the lease it only waits for it. A new holder first reads the groups from the store, so that groups keep
 * serving even if all gateway processes restart.
 */
import { makeGroupPlanner } from "@rattanquay/core";
import { type EngineOrder, eraOf, type ProbeReport, type UpstreamRecord } from "@rattanquay/schema";
import { startTask } from "@rattanquay/task";
import { type Cancel } from "@rattanquay/timer";
import { type ClusterState } from "../clusterState";
import { type GatewayContext } from "../gatewayContext";
import { type PassedOrder, type PlanningCandidacy } from "../peers";
import { type FleetMonitor, type FleetMonitorOptions, makeFleetMonitor } from "./fleetMonitor";
import { makeGroupRows } from "./groupRows";
import { type LeaseKeeper, makeLeaseKeeper } from "./leaseKeeper";
import { makeOrderSender } from "./orderSender";
import { makePlanTrigger } from "./planTrigger";

export type Planning = {
    readonly lease: Pick<LeaseKeeper, "mayPlan" | "heldTerm" | "lastReadHolder">;
    /** Takes what another zone's prober found. */
    readonly receiveProbeReport: (report: ProbeReport) => void;
    /** Stops planning and releases the lease. */
    readonly release: () => Promise<void>;
    readonly close: () => void;
};

export type PlanningOptions = FleetMonitorOptions & {
    readonly context: GatewayContext;
    readonly candidacy: () => PlanningCandidacy;
    /** Whether this process probes its zone's engine instances for the planner. */
    readonly isZoneProber: () => boolean;
    /** Sends a report to another process. */
    readonly tellInstance: (instance: string, report: ProbeReport) => void;
    /** Asks peers to send an order that this process got no answer to. */
    readonly passOrder: (upstream: UpstreamRecord, order: EngineOrder) => Promise<PassedOrder>;
};

type Message = { readonly kind: "tick" } | { readonly kind: "release"; readonly done: () => void };

const tickEveryMs = 60;
/** Without the lease, only every n-th tick is processed. */
const ticksPerStepWithoutLease = 4;
const zoneProbeEveryMs = 240;
/** Limit for each of the rows formed, rewritten and removed in one transaction, which holds at most 100 entries. */
const maxRows = 32;

export function startPlanning(options: PlanningOptions): Planning {
    const { context, clusterState, clusterState: { evacuations }, passOrder } = options;
    const { timer, settings, onFatalError } = context;
    const lease = makeLeaseKeeper(context, options.candidacy);
    const planner = makeGroupPlanner(settings.bounds);
    const rows = makeGroupRows(context, lease);
    const fleet = makeFleetMonitor(context, options);
    const sendOrder = makeOrderSender(context, { planner, isSilent: isSilentIn(options, fleet), passOrder });
    const trigger = makePlanTrigger(timer.nowMs);
    let termFence = 0;

    const readRows = async (): Promise<void> => {
        const loads = await rows.read();
        if (loads === undefined) {
            return;
        }
        if (lease.fence() === termFence) {
            planner.resumeTerm(loads);
            return;
        }
        termFence = lease.fence();
        planner.startTerm(loads, timer.nowMs());
        fleet.reset();
    };
    const planOnce = async (): Promise<void> => {
        const groups = rows.all();
        const config = clusterState.configuration();
        if (groups === undefined || config === undefined || !isListUsable(clusterState, lease.era())) {
            return;
        }
        fleet.update();
        fleet.summarize(groups);
        if (!trigger.isDue([clusterState.upstreams(), config, evacuations.evacuatedZones(), ...fleet.unreachable()])) {
            return;
        }
        const plan = planner.plan({
            nowMs: timer.nowMs(),
            services: config.services,
            upstreams: clusterState.upstreams(),
            groups,
            unreachable: fleet.unreachable(),
            evacuatedZones: evacuations.evacuatedZones(),
            utilization: fleet.utilization(),
            hasTraffic: fleet.hasTraffic(),
            fence: lease.fence(),
        });
        const { form, rewrite, remove, loads, orders } = plan;
        if (form.length + rewrite.length + remove.length + orders.length > 0) {
            trigger.reset();
        }
        if (
            !await rows.write({ form: limitRows(form), rewrite: limitRows(rewrite), remove: limitRows(remove), loads })
        ) {
            return;
        }
        for (const addressed of orders) {
            if (!lease.mayPlan()) {
                return;
            }
            void sendOrder(addressed).catch(error => onFatalError("planning", error));
        }
    };
    const mailbox = startTask<Message>({
        name: "planning",
        onFatalError,
        handlers: {
            tick: async () => {
                await lease.step();
                if (!lease.mayPlan()) {
                    rows.invalidate();
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
        if (lease.mayPlan() || ticks % ticksPerStepWithoutLease === 0) {
            mailbox.sendIfIdle({ kind: "tick" });
        }
    });
    const cancelProbes = startZoneProbes(options, lease, fleet);
    return {
        lease,
        receiveProbeReport: fleet.receiveReport,
        release: () => {
            cancel();
            cancelProbes();
            return new Promise(resolve => mailbox.send({ kind: "release", done: resolve }));
        },
        close: () => {
            cancel();
            cancelProbes();
            mailbox.close();
        },
    };
}

function isSilentIn({ clusterState }: PlanningOptions, fleet: FleetMonitor): (upstream: UpstreamRecord) => boolean {
    return ({ id }) => fleet.unreachable().has(id) || !clusterState.upstreams().has(id);
}

/**
 * Whether groups may be planned over the known upstreams. When the store has come back from a copy, the rows of groups that serve may
 * be lost, and entries may be older than what is known: members must first have had the time to write theirs again.
 */
export function isListUsable(
    clusterState: Pick<ClusterState, "hasCompleteList" | "isSettled" | "asOf">,
    era: number,
): boolean {
    return clusterState.hasCompleteList() && clusterState.isSettled() && eraOf(clusterState.asOf()) >= era;
}

function limitRows<T>(planned: readonly T[]): readonly T[] {
    return planned.slice(0, maxRows);
}

/** Probes the own zone's instances and reports to the lease holder, while another process holds the lease. */
function startZoneProbes(
    { context: { timer, settings }, isZoneProber, tellInstance }: PlanningOptions,
    lease: LeaseKeeper,
    fleet: FleetMonitor,
): Cancel {
    return timer.every(zoneProbeEveryMs, () => {
        const holder = lease.holderInstance();
        if (lease.mayPlan() || !isZoneProber() || holder === undefined || holder === settings.instance) {
            return;
        }
        const report = fleet.probeOwnZone();
        if (report !== undefined) {
            tellInstance(holder, report);
        }
    });
}
