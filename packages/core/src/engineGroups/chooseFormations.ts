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
            domains.forEach((members, domain) =>
                domains.set(domain, members.filter(({ id }) => !taken.has(id)))
            );
            next = bestFormation(own, domains, pressures, limits);
        }
    }
    return chosen;
}

function byDomain(records: readonly UpstreamRecord[]): Map<string, readonly UpstreamRecord[]> {
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
    /** Counts a group that will be formed. */
    readonly add: (offer: Offer) => void;
};

/** Work for each instance assigned to the model: by what its groups do, or by its declared share while nothing is known. */
export function makePressures(view: FleetView, offers: readonly Offer[]): Pressures {
    const existing = (model: string): number => view.groups.filter(group => group.model === model).length;
    const counts = new Map(offers.map(({ model }) => [model.model, existing(model.model)]));
    const work = new Map(offers.map(({ model }) => {
        const utilization = view.utilization.get(model.model);
        const instances = existing(model.model) * model.groupSize;
        return [model.model, utilization === undefined ? undefined : utilization * instances];
    }));
    const known = [...work.values()].every(value => value !== undefined && value > 0);
    return {
        of: ({ model }) => {
            const instances = counts.get(model.model)! * model.groupSize;
            const demand = known ? work.get(model.model)! : model.share;
            // The half of a group keeps a model without groups first, and the larger groups from always going last.
            return demand / (instances + model.groupSize / 2);
        },
        add: ({ model }) => {
            counts.set(model.model, counts.get(model.model)! + 1);
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
        const possible = [...domains.values()].flatMap(records => formationIn(records, offer, limits) ?? []);
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
