/** What a zone's lease holder plans from, and what follows from that about single groups and instances. */
import { type GroupRow, type Instance, type ModelService } from "@rattanquay/schema";
import { type Snapshot } from "../config";
import { type Evidence, type Standing } from "../evidence";

/** What a zone's lease holder knows when it plans. Instants are on its own clock. */
export type ZoneView = {
    readonly availabilityZone: string;
    readonly snapshot: Snapshot;
    readonly instances: readonly Instance[];
    readonly groups: readonly GroupRow[];
    readonly standings: ReadonlyMap<string, Standing>;
    readonly evidence: ReadonlyMap<string, Evidence>;
    /** Draining groups that no entry instance has work on any more. */
    readonly idleGroups: ReadonlySet<string>;
    /** Members that have given no fresh evidence for longer than a pause explains. */
    readonly lostInstances: ReadonlySet<string>;
    /** Instances without fresh evidence for so long that late answers alone hardly explain it. */
    readonly longLostInstances: ReadonlySet<string>;
    /** Instances without an owner for so long that every order of an old holder has expired. */
    readonly settledInstances: ReadonlySet<string>;
    readonly nowMs: number;
    readonly evidenceMaxAgeMs: number;
};

/** A free instance with fresh evidence. */
export type Candidate = {
    readonly instance: string;
    readonly address: string;
    readonly bootId: string;
    readonly fabricDomain: string;
    readonly cachedWeights: readonly string[];
};

/** What to do next; all of one plan may go into one transaction, since no two touch the same instance. */
export type Action =
    | {
        readonly kind: "form";
        readonly service: string;
        readonly declared: ModelService;
        readonly fabricDomain: string;
        readonly members: readonly Candidate[];
    }
    | { readonly kind: "drain"; readonly group: GroupRow; readonly reason: string }
    | { readonly kind: "dissolve"; readonly group: GroupRow; readonly reason: string };

export type Removal = Exclude<Action, { readonly kind: "form" }>;

export function isFresh(view: ZoneView, instance: string): boolean {
    const evidence = view.evidence.get(instance);
    return evidence !== undefined && view.nowMs - evidence.sentAtMs <= view.evidenceMaxAgeMs;
}

export function isServing(view: ZoneView, group: GroupRow): boolean {
    return view.standings.get(group.group)?.kind === "serving";
}

/** A group that lacks a member and cannot serve until that comes back. */
export function isWeak(view: ZoneView, group: GroupRow): boolean {
    return group.members.some(member => view.lostInstances.has(member.instance));
}

/**
 * Whether a member has been lost for so long that the rest of the group may be used elsewhere. A group whose evidence is
 * merely late, as on a starved machine, comes back by itself sooner than another could be loaded in its place.
 */
export function isBeyondHope(view: ZoneView, group: GroupRow): boolean {
    return group.members.some(member => view.longLostInstances.has(member.instance));
}

/** All members answer, and what they say is that the group does not serve: draining it takes nothing away. */
export function isProvedIdle(view: ZoneView, group: GroupRow): boolean {
    return !isServing(view, group) && group.members.every(member => isFresh(view, member.instance));
}

/** Whether the group is what its service declares now. */
export function isCurrent(group: GroupRow, declared: ModelService): boolean {
    return group.model === declared.model
        && group.version === declared.version
        && group.adapter === declared.adapter
        && group.members.length === declared.groupSize;
}

/** How the engines name a model's weights in `cachedWeights`. */
export const weightsOf = (assignment: { readonly model: string; readonly version: string }): string =>
    `${assignment.model}@${assignment.version}`;

/**
 * Free instances by fabric domain: live, unowned, not recalled, answering, and proved to be done with any earlier group
 * unless `proof` is not asked for.
 */
export function freeByDomain(
    view: ZoneView,
    isRecalled: (instance: string) => boolean,
    proof: "proved" | "unproved" = "proved",
): ReadonlyMap<string, readonly Candidate[]> {
    const owned = new Set(view.groups.flatMap(group => group.members.map(member => member.instance)));
    const domains = new Map<string, Candidate[]>();
    for (const instance of view.instances) {
        const info = view.evidence.get(instance.instance)?.info;
        const isFree = instance.state === "live"
            && instance.availabilityZone === view.availabilityZone
            && !owned.has(instance.instance)
            && !isRecalled(instance.instance)
            && isFresh(view, instance.instance)
            && (proof === "unproved" || info?.group === undefined || info.status === "failed"
                || view.settledInstances.has(instance.instance));
        if (info !== undefined && isFree) {
            const { address, fabricDomain } = instance;
            const { bootId, cachedWeights } = info;
            const candidates = domains.get(fabricDomain) ?? [];
            candidates.push({ instance: instance.instance, address, fabricDomain, bootId, cachedWeights });
            domains.set(fabricDomain, candidates);
        }
    }
    return domains;
}
