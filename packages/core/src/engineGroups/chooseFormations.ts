/**
 * Chooses which groups to form from the free instances.
 *
 * Designed for workloads in which members are lost every few seconds and demand differs by model: the model with the
 * highest demand per instance comes first, and of its possible groups the one that is ready soonest. All members of a
 * group are in one fabric domain.
 */
import { type UpstreamRecord } from "@rattanquay/schema";
import { type FleetView, freeInstances, type ServiceModel, serviceModelsOf } from "./fleetView";
import { joinCost } from "./joinCost";

export type Formation = {
    readonly serviceModel: ServiceModel;
    readonly members: readonly UpstreamRecord[];
    readonly readyMs: number;
};

export type FormationLimits = {
    /** Whether members may have to load weights from the weight store before they are ready. */
    readonly mayLoad: boolean;
    readonly lastModels: ReadonlyMap<string, string>;
    /** Whether an incarnation is loading weights; it is not assigned to a group until it has them. */
    readonly isStaging: (record: UpstreamRecord) => boolean;
    /** The only model that may use a domain's free instances, if they are reserved. */
    readonly reservedFor: (domain: string) => string | undefined;
};

export function chooseFormations(view: FleetView, limits: FormationLimits): readonly Formation[] {
    const serviceModels = serviceModelsOf(view);
    const chosen: Formation[] = [];
    const services = [...new Set(serviceModels.map(({ service }) => service))];
    for (const service of services) {
        const domains = byDomain(freeInstances(view, service).filter(record => !limits.isStaging(record)));
        const own = serviceModels.filter(serviceModel => serviceModel.service === service);
        const demand = makeModelDemand(view, own);
        for (let next = bestFormation(own, domains, demand, limits); next !== undefined;) {
            chosen.push(next);
            demand.add(next.serviceModel);
            const taken = new Set(next.members.map(({ id }) => id));
            domains.forEach((members, domain) => domains.set(domain, members.filter(({ id }) => !taken.has(id))));
            next = bestFormation(own, domains, demand, limits);
        }
    }
    return chosen;
}

/** Groups instances by fabric domain. */
export function byDomain(records: readonly UpstreamRecord[]): Map<string, readonly UpstreamRecord[]> {
    const domains = new Map<string, readonly UpstreamRecord[]>();
    for (const record of records) {
        const domain = record.fabricDomain ?? "";
        domains.set(domain, [...domains.get(domain) ?? [], record]);
    }
    return domains;
}

export type ModelDemand = {
    /** A model's need for another group, comparable between models. */
    readonly of: (serviceModel: ServiceModel) => number;
    /** Counts groups that will be formed, or dissolved when negative. */
    readonly add: (serviceModel: ServiceModel, groups?: number) => void;
};

/** Weight of the declared shares in the expected work; the rest follows the observed demand. */
const declaredPart = 0.5;

/** Expected work per instance assigned to a model: half by its declared share, half by its groups' current use. */
export function makeModelDemand(view: FleetView, serviceModels: readonly ServiceModel[]): ModelDemand {
    const existing = (model: string): number => view.groups.filter(group => group.model === model).length;
    const counts = new Map(serviceModels.map(({ model }) => [model.model, existing(model.model)]));
    const busy = new Map(serviceModels.map(({ model }) => [
        model.model,
        (view.utilization.get(model.model) ?? 0) * existing(model.model) * model.groupSize,
    ]));
    const allBusy = [...busy.values()].reduce((sum, count) => sum + count, 0);
    const allShares = serviceModels.reduce((sum, { model }) => sum + model.share, 0);
    const workShareOf = ({ model }: ServiceModel): number => {
        const declared = model.share / Math.max(allShares, Number.MIN_VALUE);
        const observed = allBusy === 0 ? declared : busy.get(model.model)! / allBusy;
        return declaredPart * declared + (1 - declaredPart) * observed;
    };
    return {
        of: serviceModel => {
            const { model } = serviceModel;
            // The extra half group puts models without groups first and keeps models with large groups from always
            // coming last.
            return workShareOf(serviceModel) / (counts.get(model.model)! * model.groupSize + model.groupSize / 2);
        },
        add: ({ model }, groups = 1) => {
            counts.set(model.model, counts.get(model.model)! + groups);
        },
    };
}

function bestFormation(
    serviceModels: readonly ServiceModel[],
    domains: ReadonlyMap<string, readonly UpstreamRecord[]>,
    demand: ModelDemand,
    limits: FormationLimits,
): Formation | undefined {
    const ranked = [...serviceModels].sort((a, b) => demand.of(b) - demand.of(a));
    for (const serviceModel of ranked) {
        const possible = [...domains].flatMap(([domain, records]) =>
            (limits.reservedFor(domain) ?? serviceModel.model.model) === serviceModel.model.model
                ? formationIn(records, serviceModel, limits) ?? []
                : []
        );
        const soonest = possible.sort((a, b) => a.readyMs - b.readyMs)[0];
        if (soonest !== undefined) {
            return soonest;
        }
    }
    return undefined;
}

function formationIn(
    records: readonly UpstreamRecord[],
    serviceModel: ServiceModel,
    { mayLoad, lastModels }: FormationLimits,
): Formation | undefined {
    const costs = records
        .map(record => ({ record, cost: joinCost(record, serviceModel, lastModels) }))
        .filter(({ cost }) => mayLoad || !cost.needsLoad)
        .sort((a, b) => a.cost.ms - b.cost.ms)
        .slice(0, serviceModel.model.groupSize);
    return costs.length < serviceModel.model.groupSize
        ? undefined
        : { serviceModel, members: costs.map(({ record }) => record), readyMs: costs.at(-1)!.cost.ms };
}
