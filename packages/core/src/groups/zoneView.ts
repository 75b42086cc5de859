/** The input of a zone's planning, and what it implies about single groups and instances. */
import { type GroupRow, type Instance, type ModelService } from "@rattanquay/schema";
import { type Snapshot } from "../config";
import { type Evidence, type GroupStatus } from "../evidence";

/** The state of a zone as its lease holder sees it when it plans. Times are on the holder's own clock. */
export type ZoneView = {
    readonly availabilityZone: string;
    readonly snapshot: Snapshot;
    readonly instances: readonly Instance[];
    readonly groups: readonly GroupRow[];
    readonly groupStatuses: ReadonlyMap<string, GroupStatus>;
    readonly evidence: ReadonlyMap<string, Evidence>;
    /** Draining groups on which no entry instance has work left. */
    readonly idleGroups: ReadonlySet<string>;
    /** Members without fresh evidence for longer than a process pause can explain. */
    readonly lostInstances: ReadonlySet<string>;
    /** Instances without fresh evidence for so long that late answers are an unlikely cause. */
    readonly longLostInstances: ReadonlySet<string>;
    /** Instances that have been unowned for so long that every order from a previous lease holder has expired. */
    readonly quiescentInstances: ReadonlySet<string>;
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

/** One step of a plan. All actions of a plan can share one transaction, since no two affect the same instance. */
export type ZoneAction =
    | {
        readonly kind: "form";
        readonly service: string;
        readonly declared: ModelService;
        readonly fabricDomain: string;
        readonly members: readonly Candidate[];
    }
    | { readonly kind: "drain"; readonly group: GroupRow; readonly reason: string }
    | { readonly kind: "dissolve"; readonly group: GroupRow; readonly reason: string };

export type Removal = Exclude<ZoneAction, { readonly kind: "form" }>;

export function isFresh(view: ZoneView, instance: string): boolean {
    const evidence = view.evidence.get(instance);
    return evidence !== undefined && view.nowMs - evidence.sentAtMs <= view.evidenceMaxAgeMs;
}

export function isServing(view: ZoneView, group: GroupRow): boolean {
    return view.groupStatuses.get(group.group)?.kind === "serving";
}

/** Whether the group lacks a member and cannot serve until that member returns. */
export function isWeak(view: ZoneView, group: GroupRow): boolean {
    return group.members.some(member => view.lostInstances.has(member.instance));
}

/**
 * Whether a member has been lost for so long that the other members may be used elsewhere. A group whose evidence is
 * only late, for example on an overloaded machine, recovers sooner than a replacement could be loaded.
 */
export function hasLongLostMember(view: ZoneView, group: GroupRow): boolean {
    return group.members.some(member => view.longLostInstances.has(member.instance));
}

/** Whether all members have fresh evidence and the group does not serve, so that draining it removes no capacity. */
export function isConfirmedIdle(view: ZoneView, group: GroupRow): boolean {
    return !isServing(view, group) && group.members.every(member => isFresh(view, member.instance));
}

/** Whether the group matches its service's current declaration. */
export function isCurrent(group: GroupRow, declared: ModelService): boolean {
    return group.model === declared.model
        && group.version === declared.version
        && group.adapter === declared.adapter
        && group.members.length === declared.groupSize;
}

/** The name under which engines report a model's weights in `cachedWeights`. */
export const weightsNameOf = (assignment: { readonly model: string; readonly version: string }): string =>
    `${assignment.model}@${assignment.version}`;

/**
 * Free instances by fabric domain: live, unowned, not recalled and with fresh evidence. With `proof` set to "proved",
 * they must also have no earlier group, have failed, or have been unowned until all earlier orders expired.
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
                || view.quiescentInstances.has(instance.instance));
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
