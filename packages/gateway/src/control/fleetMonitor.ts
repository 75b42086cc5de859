/** Monitors engine instances for the planner: reachability, utilization by model, and whether there is any traffic. */
import { probeIntervals } from "@rattanquay/core";
import { type EngineGroup, type EngineProfile } from "@rattanquay/schema";
import { type ClusterState } from "../clusterState";
import { type GatewayContext } from "../gatewayContext";
import { makeProber } from "./prober";

export type FleetMonitor = {
    /** Probes the instances that are due, and updates utilization and traffic from the reports so far. */
    readonly update: () => void;
    readonly unreachable: () => ReadonlySet<string>;
    /** Requests per slot at the open groups of each model. */
    readonly utilization: () => ReadonlyMap<string, number>;
    readonly hasTraffic: () => boolean;
    readonly reset: () => void;
    /** Logs a summary of all groups, at most once a second. */
    readonly summarize: (groups: readonly EngineGroup[]) => void;
};

/** Weight of the newest measurement in the moving average of utilization. */
const utilizationSmoothing = 0.15;
const summaryEveryMs = 1_000;

export type FleetMonitorOptions = {
    readonly clusterState: ClusterState;
    /** Whether this process has received any caller request. */
    readonly ownTraffic: () => boolean;
    /** When any process last received anything from an upstream, as far as known here. */
    readonly progressAtMs: (id: string) => number;
};

export function makeFleetMonitor(
    { ports: { engines }, timer, log, settings }: GatewayContext,
    { clusterState, ownTraffic, progressAtMs }: FleetMonitorOptions,
): FleetMonitor {
    const prober = makeProber(engines, timer, log);
    const utilization = new Map<string, number>();
    let hasTraffic = !settings.isFirstStart;
    let summaryAtMs = -Infinity;

    const openGroupHeads = (model: string) =>
        [...clusterState.upstreams().values()].filter(({ membership, loadedModels }) =>
            membership?.state === "open" && loadedModels.includes(model)
        );
    const noteUtilization = (model: string, slots: number): void => {
        const loads = openGroupHeads(model).flatMap(({ id }) => {
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
    const engineProfiles = (): ReadonlyMap<string, EngineProfile> =>
        new Map(
            (clusterState.configuration()?.services ?? []).flatMap(({ service, engine }) =>
                engine === undefined ? [] : [[service, engine] as const]
            ),
        );
    return {
        update: () => {
            const profiles = engineProfiles();
            const records = [...clusterState.upstreams().values()].filter(({ service }) => profiles.has(service));
            prober.probe(records, probeIntervals(records, { nowMs: timer.nowMs(), progressAtMs, hasTraffic }));
            hasTraffic ||= ownTraffic() || records.some(({ id }) => (prober.reportOf(id)?.running ?? 0) > 0);
            profiles.forEach(({ models, slots }) => models.forEach(({ model }) => noteUtilization(model, slots)));
        },
        unreachable: prober.unreachable,
        utilization: () => utilization,
        hasTraffic: () => hasTraffic,
        reset: prober.reset,
        summarize: groups => {
            if (timer.nowMs() - summaryAtMs < summaryEveryMs) {
                return;
            }
            summaryAtMs = timer.nowMs();
            const models = [...new Set(groups.map(({ model }) => model))].map(model => ({
                model,
                groups: groups.filter(group => group.model === model).length,
                open: openGroupHeads(model).length,
                utilization: utilization.get(model)?.toFixed(2),
            }));
            log.info("fleetSummary", {
                models,
                upstreams: clusterState.upstreams().size,
                owned: groups.reduce((sum, { members }) => sum + members.length, 0),
                unreachable: prober.unreachable().size,
                hasTraffic,
            });
        },
    };
}
