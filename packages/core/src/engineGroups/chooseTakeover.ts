/**
 * Which groups to give up so that a model in greater need gets one.
 *
 * Answers the load in which a large group has lost a member and its domain has no spare: without this its survivors would
 * be made into smaller groups of another model, until the model with the larger groups is served by none.
 */
import { type EngineGroup, type UpstreamRecord } from "@rattanquay/schema";
import { byDomain, type FormationLimits, makePressures } from "./chooseFormations";
import { type FleetView, freeInstances, type Offer, offersOf } from "./fleetView";
import { joinCost } from "./joinCost";

export type Takeover = {
    readonly domain: string;
    readonly offer: Offer;
    /** Groups whose members are needed. */
    readonly groups: readonly EngineGroup[];
};

/** The model in need must need it this many times as much as the one that gives, after it gave. */
const hysteresis = 1.25;

export function chooseTakeover(
    view: FleetView,
    limits: Pick<FormationLimits, "lastModels">,
    isServing: (group: EngineGroup) => boolean,
): Takeover | undefined {
    const services = [...new Set(offersOf(view).map(({ service }) => service))];
    for (const service of services) {
        const found = takeoverIn(service, view, limits, isServing);
        if (found !== undefined) {
            return found;
        }
    }
    return undefined;
}

function takeoverIn(
    service: string,
    view: FleetView,
    limits: Pick<FormationLimits, "lastModels">,
    isServing: (group: EngineGroup) => boolean,
): Takeover | undefined {
    const offers = offersOf(view).filter(offer => offer.service === service);
    const pressures = makePressures(view, offers);
    const offer = [...offers].sort((a, b) => pressures.of(b) - pressures.of(a))[0];
    if (offer === undefined) {
        return undefined;
    }
    const isQuick = (record: UpstreamRecord): boolean => !joinCost(record, offer, limits.lastModels).needsLoad;
    const free = byDomain(freeInstances(view, service).filter(isQuick));
    const possible = domainsOf(view, service).flatMap(domain => {
        const missing = offer.model.groupSize - (free.get(domain)?.length ?? 0);
        const groups = donorsIn(domain, offer, view, isServing, isQuick);
        const taken = takeUntil(groups, missing);
        return missing > 0 && taken !== undefined ? [{ domain, offer, groups: taken }] : [];
    });
    const cheapest = possible.sort((a, b) => a.groups.length - b.groups.length)[0];
    return cheapest !== undefined && isWorth(cheapest, view, offers) ? cheapest : undefined;
}

function domainsOf(view: FleetView, service: string): readonly string[] {
    const records = [...view.upstreams.values()].filter(record => record.service === service);
    return [...byDomain(records).keys()];
}

/** Serving groups of other models in the domain, of which every member can join the model in need without a load. */
function donorsIn(
    domain: string,
    offer: Offer,
    view: FleetView,
    isServing: (group: EngineGroup) => boolean,
    isQuick: (record: UpstreamRecord) => boolean,
): readonly EngineGroup[] {
    return view.groups.filter(group =>
        group.service === offer.service
        && group.model !== offer.model.model
        && group.members.length < offer.model.groupSize
        && isServing(group)
        && group.members.every(({ id }) => {
            const record = view.upstreams.get(id);
            return record !== undefined && (record.fabricDomain ?? "") === domain && isQuick(record);
        })
    );
}

function takeUntil(groups: readonly EngineGroup[], missing: number): readonly EngineGroup[] | undefined {
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

function isWorth({ offer, groups }: Takeover, view: FleetView, offers: readonly Offer[]): boolean {
    const pressures = makePressures(view, offers);
    const need = pressures.of(offer);
    const givers = offers.filter(({ model }) => groups.some(group => group.model === model.model));
    givers.forEach(giver => pressures.add(giver, -groups.filter(group => group.model === giver.model.model).length));
    return givers.every(giver => need > pressures.of(giver) * hysteresis);
}
