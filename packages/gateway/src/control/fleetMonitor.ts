/**
 * Monitors engine instances for the planner: reachability, utilization by model, and whether there is any traffic.
 *
 * One process of each zone probes the zone's instances and reports to the planner, so that probes stay within zones and
 * their cost is divided. The planner probes only the zones without a recent report.
 */
import { probeIntervals } from "@rattanquay/core";
import { type EngineGroup, type EngineProfile, type ProbeReport, type UpstreamRecord } from "@rattanquay/schema";
import { type ClusterState } from "../clusterState";
import { type GatewayContext } from "../gatewayContext";
import { makeProber } from "./prober";

export type FleetMonitor = {
    /** Probes the instances that are due, and updates utilization and traffic from the reports so far. */
    readonly update: () => void;
    /**
     * Probes the instances of the own zone on behalf of the planner. Returns undefined if this process may be cut off
     * from them.
     */
    readonly probeOwnZone: () => ProbeReport | undefined;
    readonly receiveReport: (report: ProbeReport) => void;
    readonly unreachable: () => ReadonlySet<string>;
    /** Requests per slot at the open groups of each model outside evacuated zones. */
    readonly utilization: () => ReadonlyMap<string, number>;
    readonly hasTraffic: () => boolean;
    readonly reset: () => void;
    /** Logs a summary of all groups, at most once a second. */
    readonly summarize: (groups: readonly EngineGroup[]) => void;
};

/** Weight of the newest measurement in the moving average of utilization. */
const utilizationSmoothing = 0.15;
const summaryEveryMs = 1_000;
/** The planner probes a zone itself if its last report is older than this; reports come several times as often. */
const reportMaxAgeMs = 900;

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
    const reports = new Map<string, { readonly atMs: number; readonly report: ProbeReport }>();
    const utilization = new Map<string, number>();
    let hasTraffic = !settings.isFirstStart;
    let summaryAtMs = -Infinity;

    const recentReports = (): readonly ProbeReport[] =>
        [...reports.values()].flatMap(({ atMs, report }) => timer.nowMs() - atMs < reportMaxAgeMs ? [report] : []);
    const ownLoadOf = (id: string): number | undefined => {
        const report = prober.reportOf(id);
        return report === undefined ? undefined : report.running + report.waiting;
    };
    const probe = (isWanted: (record: UpstreamRecord) => boolean): void => {
        const profiles = engineProfiles();
        const records = [...clusterState.upstreams().values()].filter(record =>
            profiles.has(record.service) && isWanted(record)
        );
        prober.probe(records, probeIntervals(records, { nowMs: timer.nowMs(), progressAtMs, hasTraffic }));
        hasTraffic ||= ownTraffic() || records.some(({ id }) => (prober.reportOf(id)?.running ?? 0) > 0);
    };
    const openGroupHeads = (model: string) =>
        [...clusterState.upstreams().values()].filter(({ availabilityZone, membership, loadedModels }) =>
            membership?.state === "open" && loadedModels.includes(model) && !clusterState.isEvacuated(availabilityZone)
        );
    const noteUtilization = (model: string, slots: number): void => {
        const reported = new Map(recentReports().flatMap(report => report.loads));
        const loads = openGroupHeads(model).flatMap(({ id }) => {
            const load = ownLoadOf(id) ?? reported.get(id);
            return load === undefined ? [] : [load / slots];
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
    const unreachable = (): ReadonlySet<string> =>
        new Set([...prober.unreachable(), ...recentReports().flatMap(report => report.unreachable)]);
    return {
        update: () => {
            const reportedZones = new Set(recentReports().map(report => report.availabilityZone));
            probe(({ availabilityZone }) => !reportedZones.has(availabilityZone));
            hasTraffic ||= recentReports().some(({ loads }) => loads.some(([, load]) => load > 0));
            engineProfiles().forEach(({ models, slots }) =>
                models.forEach(({ model }) => noteUtilization(model, slots))
            );
        },
        probeOwnZone: () => {
            const { availabilityZone } = settings;
            probe(record => record.availabilityZone === availabilityZone);
            const heads = [...clusterState.upstreams().values()].filter(({ membership }) =>
                membership?.state === "open"
            );
            const loads = heads.flatMap(({ id }): ProbeReport["loads"] => {
                const load = ownLoadOf(id);
                return load === undefined ? [] : [[id, load]];
            });
            return prober.isCutOff()
                ? undefined
                : { kind: "probeReport", availabilityZone, unreachable: [...prober.unreachable()], loads };
        },
        receiveReport: report => {
            reports.set(report.availabilityZone, { atMs: timer.nowMs(), report });
        },
        unreachable,
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
                unreachable: unreachable().size,
                hasTraffic,
            });
        },
    };
}
