/**
 * Chooses groups to preempt so that a model in greater need can form one.
 *
 * Guards against losing all groups of a model with large groups: when a large group loses a member and its domain has
 * no spare instance, the survivors would otherwise be used for smaller groups of another model, until no large group is
 * left.
 */
import { type EngineGroup, type UpstreamRecord } from "@rattanquay/schema";
import { byDomain, type FormationLimits, makeModelDemand } from "./chooseFormations";
import { type FleetView, freeInstances, type ServiceModel, serviceModelsOf } from "./fleetView";
import { joinCost } from "./joinCost";

export type Preemption = {
    readonly domain: string;
    readonly serviceModel: ServiceModel;
    /** Groups to preempt. */
    readonly groups: readonly EngineGroup[];
};

/** The model's demand must exceed the preempted model's demand after the preemption by this factor. */
const hysteresis = 1.25;

export function choosePreemption(
    view: FleetView,
    limits: Pick<FormationLimits, "lastModels">,
    isServing: (group: EngineGroup) => boolean,
): Preemption | undefined {
    const services = [...new Set(serviceModelsOf(view).map(({ service }) => service))];
    for (const service of services) {
        const found = preemptionIn(service, view, limits, isServing);
        if (found !== undefined) {
            return found;
        }
    }
    return undefined;
}

function preemptionIn(
    service: string,
    view: FleetView,
    limits: Pick<FormationLimits, "lastModels">,
    isServing: (group: EngineGroup) => boolean,
): Preemption | undefined {
    const serviceModels = serviceModelsOf(view).filter(serviceModel => serviceModel.service === service);
    const demand = makeModelDemand(view, serviceModels);
    const serviceModel = [...serviceModels].sort((a, b) => demand.of(b) - demand.of(a))[0];
    if (serviceModel === undefined) {
        return undefined;
    }
    const joinsWithoutLoad = (record: UpstreamRecord): boolean =>
        !joinCost(record, serviceModel, limits.lastModels).needsLoad;
    const free = byDomain(freeInstances(view, service).filter(joinsWithoutLoad));
    const possible = domainsOf(view, service).flatMap(domain => {
        const missing = serviceModel.model.groupSize - (free.get(domain)?.length ?? 0);
        const groups = preemptibleGroupsIn(domain, serviceModel, view, isServing, joinsWithoutLoad);
        const taken = takeUntilCovered(groups, missing);
        return missing > 0 && taken !== undefined ? [{ domain, serviceModel, groups: taken }] : [];
    });
    const cheapest = possible.sort((a, b) => a.groups.length - b.groups.length)[0];
    return cheapest !== undefined && isWorthwhile(cheapest, view, serviceModels) ? cheapest : undefined;
}

function domainsOf(view: FleetView, service: string): readonly string[] {
    const records = [...view.upstreams.values()].filter(record => record.service === service);
    return [...byDomain(records).keys()];
}

/** Smaller serving groups of other models in the domain whose members can all join the model's group without a load. */
function preemptibleGroupsIn(
    domain: string,
    serviceModel: ServiceModel,
    view: FleetView,
    isServing: (group: EngineGroup) => boolean,
    joinsWithoutLoad: (record: UpstreamRecord) => boolean,
): readonly EngineGroup[] {
    return view.groups.filter(group =>
        group.service === serviceModel.service
        && group.model !== serviceModel.model.model
        && group.members.length < serviceModel.model.groupSize
        && isServing(group)
        && group.members.every(({ id }) => {
            const record = view.upstreams.get(id);
            return record !== undefined && (record.fabricDomain ?? "") === domain && joinsWithoutLoad(record);
        })
    );
}

function takeUntilCovered(groups: readonly EngineGroup[], missing: number): readonly EngineGroup[] | undefined {
    const taken: EngineGroup[] = [];
    let count = 0;
    for (const group of groups) {
        if (count >= missing) {
            break;
        }
        taken.push(group);
        count += group.members.length;
    }
    return count >= missing ? taken : undefined;
}

function isWorthwhile(
    { serviceModel, groups }: Preemption,
    view: FleetView,
    serviceModels: readonly ServiceModel[],
): boolean {
    const demand = makeModelDemand(view, serviceModels);
    const need = demand.of(serviceModel);
    const preemptedModels = serviceModels.filter(({ model }) => groups.some(group => group.model === model.model));
    preemptedModels.forEach(preempted =>
        demand.add(preempted, -groups.filter(group => group.model === preempted.model.model).length)
    );
    return preemptedModels.every(preempted => need > demand.of(preempted) * hysteresis);
}
