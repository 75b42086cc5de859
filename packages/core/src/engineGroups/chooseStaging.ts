/**
 * Chooses which weights to stage on the hosts of instances, so that forming a later group takes only the warm-up time.
 *
 * Free instances without weights stage those of the model whose next group lacks the fewest members in their domain.
 * Serving members stage another model's weights, since they can rejoin a group of their own model without any: all at
 * once before the first request, when loads delay nobody, and a few at a time later.
 */
import { type UpstreamRecord } from "@rattanquay/schema";
import { makeModelDemand } from "./chooseFormations";
import { type FleetView, freeInstances, type ServiceModel, serviceModelsOf } from "./fleetView";
import { joinCost } from "./joinCost";

export type Staging = { readonly record: UpstreamRecord; readonly serviceModel: ServiceModel };

export type StagingLimits = {
    readonly allowance: number;
    readonly lastModels: ReadonlyMap<string, string>;
    readonly loadingModelOf: (record: UpstreamRecord) => string | undefined;
};

/** Loads reserved for free instances, which cannot serve until they have weights. */
const loadsReservedForFree = 3;

export function chooseStaging(view: FleetView, limits: StagingLimits): readonly Staging[] {
    const serviceModels = serviceModelsOf(view);
    const forFree = [...new Set(serviceModels.map(({ service }) => service))].flatMap(service =>
        stagingOfFree(view, serviceModels.filter(serviceModel => serviceModel.service === service), limits)
    );
    const forMembers = stagingOfMembers(view, serviceModels, limits);
    const membersAllowed = view.hasTraffic ? limits.allowance - loadsReservedForFree - forFree.length : Infinity;
    return [...forFree.slice(0, limits.allowance), ...forMembers.slice(0, Math.max(0, membersAllowed))];
}

function stagingOfFree(
    view: FleetView,
    serviceModels: readonly ServiceModel[],
    limits: StagingLimits,
): readonly Staging[] {
    const demand = makeModelDemand(view, serviceModels);
    const free = freeInstances(view, serviceModels[0]!.service);
    const planned = new Map<string, string>();
    const hasWeights = (record: UpstreamRecord, serviceModel: ServiceModel): boolean =>
        (limits.loadingModelOf(record) ?? planned.get(record.id)) === serviceModel.model.model
        || !joinCost(record, serviceModel, limits.lastModels).needsLoad;
    const withoutWeights = free.filter(record =>
        serviceModels.every(serviceModel => !hasWeights(record, serviceModel))
    );
    return withoutWeights.map(record => {
        const sameDomain = free.filter(other => other.fabricDomain === record.fabricDomain);
        const missingMembers = (serviceModel: ServiceModel): number =>
            serviceModel.model.groupSize
            - sameDomain.filter(other => hasWeights(other, serviceModel)).length % serviceModel.model.groupSize;
        const serviceModel = [...serviceModels].sort((a, b) =>
            missingMembers(a) - missingMembers(b) || demand.of(b) - demand.of(a)
        )[0]!;
        planned.set(record.id, serviceModel.model.model);
        return { record, serviceModel };
    });
}

function stagingOfMembers(
    view: FleetView,
    serviceModels: readonly ServiceModel[],
    limits: StagingLimits,
): readonly Staging[] {
    return view.groups.flatMap(group => {
        const others = serviceModels.filter(({ service, model }) =>
            service === group.service && model.model !== group.model
        );
        const serviceModel = [...others].sort((a, b) => b.model.share - a.model.share)[0];
        return serviceModel === undefined ? [] : group.members.flatMap(({ id }) => {
            const record = view.upstreams.get(id);
            const isSettled = record?.membership?.state === "ready" || record?.membership?.state === "open";
            const shouldStage = record !== undefined && isSettled && limits.loadingModelOf(record) === undefined
                && !record.stagedModels.includes(serviceModel.model.model);
            return shouldStage ? [{ record, serviceModel }] : [];
        });
    });
}
