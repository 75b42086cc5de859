import { type GroupRow, type Instance, type ModelService } from "@rattanquay/schema";
import { instanceIsRecalled, servicesOfKind, type Snapshot, versionIsRecalled } from "../config";
import { type Evidence, type Standing } from "../evidence";
import { type Need, type RepairOrder } from "./repairOrder";

/** What a zone's lease holder knows when it plans. */
export type ZoneView = {
    readonly availabilityZone: string;
    readonly snapshot: Snapshot;
    readonly instances: readonly Instance[];
    readonly groups: readonly GroupRow[];
    readonly standings: ReadonlyMap<string, Standing>;
    readonly evidence: ReadonlyMap<string, Evidence>;
    /** Groups that no entry instance has work on any more. */
    readonly idleGroups: ReadonlySet<string>;
    readonly nowMs: number;
    readonly evidenceMaxAgeMs: number;
};

/** What to do next. Each is one transaction; `form` carries the boot ids that the group is formed on. */
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

/** A free instance with fresh evidence. */
export type Candidate = {
    readonly instance: string;
    readonly address: string;
    readonly bootId: string;
    readonly fabricDomain: string;
};

/** Plans one zone: broken groups are dissolved, unwanted ones drained, and free instances made into missing groups. */
export function planZone(view: ZoneView, repairOrder: RepairOrder): readonly Action[] {
    const dissolved = view.groups.flatMap(group => dissolution(view, group));
    const drained = view.groups.flatMap(group => drainage(view, group));
    return [...dissolved, ...drained, ...formations(view, repairOrder)];
}

function dissolution(view: ZoneView, group: GroupRow): readonly Action[] {
    const standing = view.standings.get(group.group);
    if (standing?.kind === "broken") {
        return [{ kind: "dissolve", group, reason: standing.reason }];
    }
    if (membersGone(view, group)) {
        return [{ kind: "dissolve", group, reason: "a member is gone from the platform's list" }];
    }
    if (group.state === "draining" && view.idleGroups.has(group.group)) {
        return [{ kind: "dissolve", group, reason: "drained" }];
    }
    return [];
}

function membersGone(view: ZoneView, group: GroupRow): boolean {
    const listed = new Set(view.instances.map(instance => instance.instance));
    return group.members.some(member =>
        !listed.has(member.instance) && !isFresh(view, view.evidence.get(member.instance))
    );
}

function drainage(view: ZoneView, group: GroupRow): readonly Action[] {
    const standing = view.standings.get(group.group);
    if (group.state === "draining" || standing?.kind === "broken") {
        return [];
    }
    const reason = standing?.kind === "leaving" ? standing.reason : unwantedReason(view, group);
    return reason === undefined ? [] : [{ kind: "drain", group, reason }];
}

function unwantedReason(view: ZoneView, group: GroupRow): string | undefined {
    const declared = view.snapshot.services.get(group.service);
    if (declared?.kind !== "model") {
        return "the service is no longer declared";
    }
    const wanted = declared.replicas[view.availabilityZone] ?? 0;
    const current = view.groups.filter(other =>
        other.service === group.service && other.state === "active" && matches(other, declared)
    );
    if (matches(group, declared)) {
        const rank = current.map(other => other.group).sort().indexOf(group.group);
        return rank >= wanted ? "more replicas than declared" : undefined;
    }
    return replaceable(view, group, declared, wanted) ? "replaced by another version or shape" : undefined;
}

/** An outdated group goes only while the floor of serving replicas stays without it. */
function replaceable(view: ZoneView, group: GroupRow, declared: ModelService, wanted: number): boolean {
    const floor = Math.ceil(wanted * declared.floorShare);
    const servingOthers = view.groups.filter(other =>
        other.service === group.service
        && other.group !== group.group
        && other.state === "active"
        && view.standings.get(other.group)?.kind === "serving"
    );
    const firstOutdated = view.groups
        .filter(other => other.service === group.service && other.state === "active" && !matches(other, declared))
        .map(other => other.group)
        .sort()[0];
    return servingOthers.length >= floor && firstOutdated === group.group;
}

function matches(group: GroupRow, declared: ModelService): boolean {
    return group.model === declared.model
        && group.version === declared.version
        && group.adapter === declared.adapter
        && group.members.length === declared.groupSize;
}

function formations(view: ZoneView, repairOrder: RepairOrder): readonly Action[] {
    const free = freeByDomain(view);
    const actions: Action[] = [];
    for (const need of repairOrder(needsOf(view))) {
        const declared = view.snapshot.services.get(need.service) as ModelService;
        for (let missing = need.declared - need.present; missing > 0; missing--) {
            const members = takeFrom(free, declared.groupSize);
            if (members === undefined) {
                break;
            }
            actions.push({
                kind: "form",
                service: need.service,
                declared,
                fabricDomain: members[0]!.fabricDomain,
                members,
            });
        }
    }
    return actions;
}

function needsOf(view: ZoneView): readonly Need[] {
    return servicesOfKind(view.snapshot, "model")
        .filter(([, declared]) => !versionIsRecalled(view.snapshot, declared.model, declared.version))
        .map(([service, declared]) => ({
            service,
            declared: declared.replicas[view.availabilityZone] ?? 0,
            present: view.groups.filter(group => group.service === service && group.state === "active").length,
            priority: declared.priority,
        }));
}

function freeByDomain(view: ZoneView): Map<string, Candidate[]> {
    const owned = new Set(view.groups.flatMap(group => group.members.map(member => member.instance)));
    const domains = new Map<string, Candidate[]>();
    for (const instance of view.instances) {
        const evidence = view.evidence.get(instance.instance);
        const usable = instance.state === "live"
            && instance.availabilityZone === view.availabilityZone
            && !owned.has(instance.instance)
            && !instanceIsRecalled(view.snapshot, instance.instance)
            && isFresh(view, evidence);
        if (usable) {
            const { instance: name, address, fabricDomain } = instance;
            const candidates = domains.get(fabricDomain) ?? [];
            domains.set(fabricDomain, [...candidates, {
                instance: name,
                address,
                fabricDomain,
                bootId: evidence!.info.bootId,
            }]);
        }
    }
    return domains;
}

function isFresh(view: ZoneView, evidence: Evidence | undefined): boolean {
    return evidence !== undefined && view.nowMs - evidence.sentAtMs <= view.evidenceMaxAgeMs;
}

/** Takes from the domain with the fewest instances that suffice (best fit), so that large domains stay whole. */
function takeFrom(free: Map<string, Candidate[]>, size: number): readonly Candidate[] | undefined {
    const [domain, candidates] = [...free]
        .filter(([, members]) => members.length >= size)
        .sort(([nameA, a], [nameB, b]) => a.length - b.length || nameA.localeCompare(nameB))[0] ?? [];
    if (domain === undefined || candidates === undefined) {
        return undefined;
    }
    free.set(domain, candidates.slice(size));
    return candidates.slice(0, size);
}
