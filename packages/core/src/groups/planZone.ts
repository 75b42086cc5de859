/** Plans one zone: dissolves broken groups, drains unwanted ones, and forms missing groups from free instances. */
import { type GroupRow, type ModelService } from "@rattanquay/schema";
import { instanceIsRecalled, servicesOfKind, versionIsRecalled } from "../config";
import { needOf, type RepairOrderPolicy } from "./repairOrder";
import { type RolloutPolicy } from "./rollouts";
import { type CandidatesByDomain, type SpareSelectionPolicy } from "./spares";
import { type BreakUpPolicy, weakGroupsByDomain } from "./weakGroups";
import {
    type Candidate,
    freeByDomain,
    hasLongLostMember,
    isConfirmedIdle,
    isCurrent,
    isFresh,
    isServing,
    isWeak,
    type Removal,
    weightsNameOf,
    type ZoneAction,
    type ZoneView,
} from "./zoneView";

export type PlanPolicies = {
    readonly repairOrder: RepairOrderPolicy;
    readonly spareChoice: SpareSelectionPolicy;
    readonly breakUp: BreakUpPolicy;
    readonly rollout: RolloutPolicy;
};

type Formation = Extract<ZoneAction, { readonly kind: "form" }>;

/** Share of the declared replicas that a rollout may temporarily add on top of them. */
const surgeShare = 0.25;

export function planZone(view: ZoneView, policies: PlanPolicies): readonly ZoneAction[] {
    const free = freeByDomain(view, instance => instanceIsRecalled(view.snapshot, instance));
    const formations = formationsOf(view, policies, free);
    const removals = new Map<string, Removal>();
    const add = (removal: Removal): void => {
        if (!removals.has(removal.group.group)) {
            removals.set(removal.group.group, removal);
        }
    };
    dissolutions(view).forEach(add);
    breakUps(view, policies.breakUp, free, formations).forEach(add);
    forcedDrains(view).forEach(add);
    servicesOfKind(view.snapshot, "model").forEach(([service, declared]) => {
        const forming = formations.some(formation => formation.service === service)
            || mayFormSoon(view, service, declared);
        surplusRemovals(view, service, declared).forEach(add);
        outdatedRemovals(view, { service, declared, forming }, policies.rollout).forEach(add);
    });
    return [...removals.values(), ...formations];
}

/**
 * Whether a missing group can be formed without using the declared spares, counting unowned instances that may not have
 * left their previous group yet.
 */
function mayFormSoon(view: ZoneView, service: string, declared: ModelService): boolean {
    const unowned = freeByDomain(view, instance => instanceIsRecalled(view.snapshot, instance), "unproved");
    const need = needsOf(view).find(found => found.service === service);
    const count = [...unowned.values()].reduce((sum, members) => sum + members.length, 0);
    return need !== undefined && need.missing > 0
        && count - declared.groupSize >= declared.spares
        && [...unowned.values()].some(members => members.length >= declared.groupSize);
}

/** Dissolves groups that cannot recover, and draining groups that have no work left or have lost a member. */
function dissolutions(view: ZoneView): readonly Removal[] {
    const listed = new Set(view.instances.map(instance => instance.instance));
    return view.groups.flatMap((group): readonly Removal[] => {
        const standing = view.groupStatuses.get(group.group);
        const gone = group.members.some(({ instance }) => !listed.has(instance) && !isFresh(view, instance));
        const reasons = [
            standing?.kind === "broken" ? standing.reason : undefined,
            gone ? "a member is gone from the platform's list" : undefined,
            group.state === "draining" && view.idleGroups.has(group.group) ? "drained" : undefined,
            group.state === "draining" && isWeak(view, group) ? "a member was lost while it drained" : undefined,
        ];
        const reason = reasons.find(found => found !== undefined);
        return reason === undefined ? [] : [{ kind: "dissolve", group, reason }];
    });
}

/** Dissolves weak groups whose surviving members can complete another group. */
function breakUps(
    view: ZoneView,
    breakUp: BreakUpPolicy,
    free: CandidatesByDomain,
    formations: readonly Formation[],
): readonly Removal[] {
    const taken = new Set(formations.flatMap(formation => formation.members.map(member => member.instance)));
    const remaining = new Map([...free].map(([name, members]) => [name, without(members, taken)]));
    const weak = view.groups.filter(group => group.state === "active" && hasLongLostMember(view, group)).map(group => ({
        group,
        survivors: group.members.filter(member => isUsable(view, member.instance)).length,
    }));
    return weakGroupsByDomain(weak, remaining).flatMap(domain =>
        breakUp(domain).map(group => ({
            kind: "dissolve" as const,
            group,
            reason: "its remaining members are needed for another group",
        }))
    );
}

function isUsable(view: ZoneView, instance: string): boolean {
    const listed = view.instances.find(known => known.instance === instance);
    return listed?.state === "live" && isFresh(view, instance) && !instanceIsRecalled(view.snapshot, instance);
}

/** Drains groups regardless of the floor of serving replicas: recalled, leaving or no longer declared. */
function forcedDrains(view: ZoneView): readonly Removal[] {
    return view.groups.filter(group => group.state === "active").flatMap((group): readonly Removal[] => {
        const standing = view.groupStatuses.get(group.group);
        if (standing?.kind === "leaving") {
            return [{ kind: "drain", group, reason: standing.reason }];
        }
        return view.snapshot.services.get(group.service)?.kind === "model"
            ? []
            : [{ kind: "drain", group, reason: "the service is no longer declared" }];
    });
}

const activeOf = (view: ZoneView, service: string): readonly GroupRow[] =>
    view.groups.filter(group => group.service === service && group.state === "active");

/** Removes groups beyond the declared number: weak ones first and without draining, serving ones last. */
function surplusRemovals(view: ZoneView, service: string, declared: ModelService): readonly Removal[] {
    const wanted = declared.replicas[view.availabilityZone] ?? 0;
    const rank = (group: GroupRow): number => isServing(view, group) ? 0 : isWeak(view, group) ? 2 : 1;
    const current = activeOf(view, service).filter(group => isCurrent(group, declared));
    const ranked = [...current].sort((a, b) => rank(a) - rank(b) || a.fence - b.fence);
    return ranked.slice(wanted).map(group => ({
        kind: isWeak(view, group) ? "dissolve" : "drain",
        group,
        reason: "more replicas than declared",
    }));
}

type ServiceChange = { readonly service: string; readonly declared: ModelService; readonly forming: boolean };

/** Removes groups of an old model, version, adapter or size, as far as the floor of serving replicas allows. */
function outdatedRemovals(view: ZoneView, change: ServiceChange, rollout: RolloutPolicy): readonly Removal[] {
    const { service, declared, forming } = change;
    const reason = "replaced by another version or shape";
    const active = activeOf(view, service);
    const old = active.filter(group => !isCurrent(group, declared));
    const withoutCapacity = old.filter(group => isWeak(view, group) || isConfirmedIdle(view, group));
    const wanted = declared.replicas[view.availabilityZone] ?? 0;
    const count = rollout({
        wanted,
        floor: Math.ceil(wanted * declared.floorShare),
        serving: active.filter(group => isServing(view, group)).length,
        loading: active.filter(group =>
            isCurrent(group, declared) && !isServing(view, group) && !isWeak(view, group)
        ).length,
        draining: view.groups.filter(group => group.service === service && group.state === "draining").length,
        forming,
    });
    const toDrain = old.filter(group => isServing(view, group)).slice(0, count);
    return [
        ...withoutCapacity.map(group => ({
            kind: isWeak(view, group) ? "dissolve" as const : "drain" as const,
            group,
            reason,
        })),
        ...toDrain.map(group => ({ kind: "drain" as const, group, reason })),
    ];
}

function formationsOf(view: ZoneView, policies: PlanPolicies, free: CandidatesByDomain): readonly Formation[] {
    const remaining = new Map(free);
    const largestSize = Math.max(
        0,
        ...servicesOfKind(view.snapshot, "model").map(([, { groupSize }]) => groupSize),
    );
    const formations: Formation[] = [];
    for (const need of policies.repairOrder(needsOf(view))) {
        const declared = view.snapshot.services.get(need.service) as ModelService;
        for (let added = 0; added < need.missing; added++) {
            const isSurge = need.present + added >= need.declared;
            const members = policies.spareChoice(remaining, {
                size: declared.groupSize,
                weights: weightsNameOf(declared),
                largestSize,
            });
            const freeCount = [...remaining.values()].reduce((sum, candidates) => sum + candidates.length, 0);
            if (members === undefined || isSurge && freeCount - members.length < declared.spares) {
                break;
            }
            const fabricDomain = members[0]!.fabricDomain;
            const taken = new Set(members.map(member => member.instance));
            remaining.set(fabricDomain, without(remaining.get(fabricDomain)!, taken));
            formations.push({ kind: "form", service: need.service, declared, fabricDomain, members });
        }
    }
    return formations;
}

function without(candidates: readonly Candidate[], taken: ReadonlySet<string>): readonly Candidate[] {
    return candidates.filter(candidate => !taken.has(candidate.instance));
}

function needsOf(view: ZoneView) {
    return servicesOfKind(view.snapshot, "model")
        .filter(([, declared]) => !versionIsRecalled(view.snapshot, declared.model, declared.version))
        .map(([service, declared]) => {
            const wanted = declared.replicas[view.availabilityZone] ?? 0;
            const healthy = activeOf(view, service).filter(group => !isWeak(view, group));
            const current = healthy.filter(group => isCurrent(group, declared)).length;
            const surge = Math.max(1, Math.ceil(wanted * surgeShare));
            const missing = Math.min(wanted - current, wanted + surge - healthy.length);
            return needOf({ service, declared: wanted, present: healthy.length, missing, priority: declared.priority });
        });
}
