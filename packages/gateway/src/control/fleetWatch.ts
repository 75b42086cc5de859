/** Watches the engine instances for the planner: who answers, how busy each model is, whether anybody asks anything. */
import { type EngineGroup, type EngineProfile } from "@rattanquay/schema";
import { type Beliefs } from "../beliefs";
import { type Surroundings } from "../surroundings";
import { makeProber } from "./prober";

export type FleetWatch = {
    /** Asks instances that are due, and takes in what was heard. */
    readonly look: () => void;
    readonly unreachable: () => ReadonlySet<string>;
    /** Requests at a model's open groups for each of their places. */
    readonly utilization: () => ReadonlyMap<string, number>;
    readonly hasTraffic: () => boolean;
    readonly forget: () => void;
    /** Writes one line a second about all groups. */
    readonly summarize: (groups: readonly EngineGroup[]) => void;
};

/** How fast the picture of the groups' load follows the reports. */
const smoothing = 0.15;
const summaryEveryMs = 1_000;

export function makeFleetWatch(
    { ports: { engines }, timer, log, settings }: Surroundings,
    beliefs: Beliefs,
    ownTraffic: () => boolean,
): FleetWatch {
    const prober = makeProber(engines, timer, log);
    const utilization = new Map<string, number>();
    let hasTraffic = !settings.isFirstStart;
    let summaryAtMs = -Infinity;

    const openHeads = (model: string) =>
        [...beliefs.upstreams().values()].filter(({ membership, loadedModels }) =>
            membership?.state === "open" && loadedModels.includes(model)
        );
    const noteUtilization = (model: string, slots: number): void => {
        const loads = openHeads(model).flatMap(({ id }) => {
            const report = prober.reportOf(id);
            return report === undefined ? [] : [(report.running + report.waiting) / slots];
        });
        if (loads.length === 0 || !hasTraffic) {
            return;
        }
        const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
        const before = utilization.get(model) ?? mean;
        utilization.set(model, before + (mean - before) * smoothing);
    };
    const enginesOf = (): ReadonlyMap<string, EngineProfile> =>
        new Map(
            (beliefs.configuration()?.services ?? []).flatMap(({ service, engine }) =>
                engine === undefined ? [] : [[service, engine] as const]
            ),
        );
    return {
        look: () => {
            const offered = enginesOf();
            const records = [...beliefs.upstreams().values()].filter(({ service }) => offered.has(service));
            prober.probe(records);
            hasTraffic ||= ownTraffic() || records.some(({ id }) => (prober.reportOf(id)?.running ?? 0) > 0);
            offered.forEach(({ models, slots }) => models.forEach(({ model }) => noteUtilization(model, slots)));
        },
        unreachable: prober.unreachable,
        utilization: () => utilization,
        hasTraffic: () => hasTraffic,
        forget: prober.forget,
        summarize: groups => {
            if (timer.nowMs() - summaryAtMs < summaryEveryMs) {
                return;
            }
            summaryAtMs = timer.nowMs();
            const models = [...new Set(groups.map(({ model }) => model))].map(model => ({
                model,
                groups: groups.filter(group => group.model === model).length,
                open: openHeads(model).length,
                utilization: utilization.get(model)?.toFixed(2),
            }));
            log.info("fleetSummary", {
                models,
                upstreams: beliefs.upstreams().size,
                owned: groups.reduce((sum, { members }) => sum + members.length, 0),
                unreachable: prober.unreachable().size,
                hasTraffic,
            });
        },
    };
}
