/**
 * Which weights to fetch onto the hosts of instances, so that a later group forms in the time of a warm-up.
 *
 * Free instances without weights fetch those of the model whose next group lacks the fewest members in their domain.
 * Serving members fetch another model's weights, since their own model needs none to be joined again: all at once before
 * the first request, when loads cost next to nothing, and few at a time later.
 */
import { type UpstreamRecord } from "@rattanquay/schema";
import { makePressures } from "./chooseFormations";
import { type FleetView, freeInstances, type Offer, offersOf } from "./fleetView";
import { joinCost } from "./joinCost";

export type Staging = { readonly record: UpstreamRecord; readonly offer: Offer };

export type StagingLimits = {
    readonly allowance: number;
    readonly lastModels: ReadonlyMap<string, string>;
    readonly stagingOf: (record: UpstreamRecord) => string | undefined;
};

/** Loads that are kept for free instances, which serve nobody until they have weights. */
const keptForFree = 3;

export function chooseStaging(view: FleetView, limits: StagingLimits): readonly Staging[] {
    const offers = offersOf(view);
    const forFree = [...new Set(offers.map(({ service }) => service))].flatMap(service =>
        stagingOfFree(view, offers.filter(offer => offer.service === service), limits)
    );
    const forMembers = stagingOfMembers(view, offers, limits);
    const membersAllowed = view.hasTraffic ? limits.allowance - keptForFree - forFree.length : Infinity;
    return [...forFree.slice(0, limits.allowance), ...forMembers.slice(0, Math.max(0, membersAllowed))];
}

function stagingOfFree(view: FleetView, offers: readonly Offer[], limits: StagingLimits): readonly Staging[] {
    const pressures = makePressures(view, offers);
    const free = freeInstances(view, offers[0]!.service);
    const planned = new Map<string, string>();
    const hasWeights = (record: UpstreamRecord, offer: Offer): boolean =>
        (limits.stagingOf(record) ?? planned.get(record.id)) === offer.model.model
        || !joinCost(record, offer, limits.lastModels).needsLoad;
    const empty = free.filter(record => offers.every(offer => !hasWeights(record, offer)));
    return empty.map(record => {
        const beside = free.filter(other => other.fabricDomain === record.fabricDomain);
        const lacking = (offer: Offer): number =>
            offer.model.groupSize - beside.filter(other => hasWeights(other, offer)).length % offer.model.groupSize;
        const offer = [...offers].sort((a, b) => lacking(a) - lacking(b) || pressures.of(b) - pressures.of(a))[0]!;
        planned.set(record.id, offer.model.model);
        return { record, offer };
    });
}

function stagingOfMembers(view: FleetView, offers: readonly Offer[], limits: StagingLimits): readonly Staging[] {
    return view.groups.flatMap(group => {
        const others = offers.filter(({ service, model }) => service === group.service && model.model !== group.model);
        const offer = [...others].sort((a, b) => b.model.share - a.model.share)[0];
        return offer === undefined ? [] : group.members.flatMap(({ id }) => {
            const record = view.upstreams.get(id);
            const isSettled = record?.membership?.state === "ready" || record?.membership?.state === "open";
            const wants = record !== undefined && isSettled && limits.stagingOf(record) === undefined
                && !record.stagedModels.includes(offer.model.model);
            return wants ? [{ record, offer }] : [];
        });
    });
}
