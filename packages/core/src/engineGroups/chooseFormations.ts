/**
 * Which groups to form of the free instances.
 *
 * Answers the load in which members are lost every few seconds while demand differs by model: the model whose groups are
 * the busiest comes first, and among its possible groups the one that serves soonest. A group lies in one fabric domain.
 */
import { type UpstreamRecord } from "@rattanquay/schema";
import { type FleetView, freeInstances, type Offer, offersOf } from "./fleetView";
import { joinCost } from "./joinCost";

export type Formation = {
    readonly offer: Offer;
    readonly members: readonly UpstreamRecord[];
    readonly readyMs: number;
};

export type FormationLimits = {
    /** Whether a group may be formed of members that must load weights first. */
    readonly mayLoad: boolean;
    readonly lastModels: ReadonlyMap<string, string>;
    /** Incarnations that are fetching weights and are better left alone until they have them. */
    readonly isStaging: (record: UpstreamRecord) => boolean;
    /** The one model for which a domain's free instances are kept, if any. */
    readonly reservedFor: (domain: string) => string | undefined;
};

export function chooseFormations(view: FleetView, limits: FormationLimits): readonly Formation[] {
    const offers = offersOf(view);
    const chosen: Formation[] = [];
    const services = [...new Set(offers.map(({ service }) => service))];
    for (const service of services) {
        const domains = byDomain(freeInstances(view, service).filter(record => !limits.isStaging(record)));
        const own = offers.filter(offer => offer.service === service);
        const pressures = makePressures(view, own);
        for (let next = bestFormation(own, domains, pressures, limits); next !== undefined;) {
            chosen.push(next);
            pressures.add(next.offer);
            const taken = new Set(next.members.map(({ id }) => id));
            domains.forEach((members, domain) => domains.set(domain, members.filter(({ id }) => !taken.has(id))));
            next = bestFormation(own, domains, pressures, limits);
        }
    }
    return chosen;
}

/** Instances by their fabric domain. */
export function byDomain(records: readonly UpstreamRecord[]): Map<string, readonly UpstreamRecord[]> {
    const domains = new Map<string, readonly UpstreamRecord[]>();
    for (const record of records) {
        const domain = record.fabricDomain ?? "";
        domains.set(domain, [...domains.get(domain) ?? [], record]);
    }
    return domains;
}

export type Pressures = {
    /** How much a model needs another group, against the others. */
    readonly of: (offer: Offer) => number;
    /** Counts groups that will be formed, or given up when negative. */
    readonly add: (offer: Offer, groups?: number) => void;
};

/** Part of the expected work that follows the declared shares, however the demand looks now. */
const declaredPart = 0.5;

/** Work for each instance assigned to the model: half by its declared share, half by what its groups do now. */
export function makePressures(view: FleetView, offers: readonly Offer[]): Pressures {
    const existing = (model: string): number => view.groups.filter(group => group.model === model).length;
    const counts = new Map(offers.map(({ model }) => [model.model, existing(model.model)]));
    const busy = new Map(offers.map(({ model }) => [
        model.model,
        (view.utilization.get(model.model) ?? 0) * existing(model.model) * model.groupSize,
    ]));
    const allBusy = [...busy.values()].reduce((sum, count) => sum + count, 0);
    const allShares = offers.reduce((sum, { model }) => sum + model.share, 0);
    const demandOf = ({ model }: Offer): number => {
        const declared = model.share / Math.max(allShares, Number.MIN_VALUE);
        const observed = allBusy === 0 ? declared : busy.get(model.model)! / allBusy;
        return declaredPart * declared + (1 - declaredPart) * observed;
    };
    return {
        of: offer => {
            const { model } = offer;
            // Half a group more keeps a model without groups first, and larger groups from always going last.
            return demandOf(offer) / (counts.get(model.model)! * model.groupSize + model.groupSize / 2);
        },
        add: ({ model }, groups = 1) => {
            counts.set(model.model, counts.get(model.model)! + groups);
        },
    };
}

function bestFormation(
    offers: readonly Offer[],
    domains: ReadonlyMap<string, readonly UpstreamRecord[]>,
    pressures: Pressures,
    limits: FormationLimits,
): Formation | undefined {
    const ranked = [...offers].sort((a, b) => pressures.of(b) - pressures.of(a));
    for (const offer of ranked) {
        const possible = [...domains].flatMap(([domain, records]) =>
            (limits.reservedFor(domain) ?? offer.model.model) === offer.model.model
                ? formationIn(records, offer, limits) ?? []
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
    offer: Offer,
    { mayLoad, lastModels }: FormationLimits,
): Formation | undefined {
    const costs = records
        .map(record => ({ record, cost: joinCost(record, offer, lastModels) }))
        .filter(({ cost }) => mayLoad || !cost.needsLoad)
        .sort((a, b) => a.cost.ms - b.cost.ms)
        .slice(0, offer.model.groupSize);
    return costs.length < offer.model.groupSize
        ? undefined
        : { offer, members: costs.map(({ record }) => record), readyMs: costs.at(-1)!.cost.ms };
}
