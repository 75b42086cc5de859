/** Plans one zone: broken groups are dissolved, unwanted ones drained, and free instances made into missing groups. */
import { type GroupRow, type ModelService } from "@rattanquay/schema";
import { instanceIsRecalled, servicesOfKind, versionIsRecalled } from "../config";
import { needOf, type RepairOrder } from "./repairOrder";
import { type Rollout } from "./rollouts";
import { type Domains, type SpareChoice } from "./spares";
import { type BreakUp, weakDomains } from "./weakGroups";
import {
    type Action,
    type Candidate,
    freeByDomain,
    isBeyondHope,
    isCurrent,
    isFresh,
    isProvedIdle,
    isServing,
    isWeak,
    type Removal,
    weightsOf,
    type ZoneView,
} from "./zoneView";

export type PlanPolicies = {
    readonly repairOrder: RepairOrder;
    readonly spareChoice: SpareChoice;
    readonly breakUp: BreakUp;
    readonly rollout: Rollout;
};

type Formation = Extract<Action, { readonly kind: "form" }>;

/** Share of the declared replicas that a change may add on top of them while it is carried out. */
const surgeShare = 0.25;

export function planZone(view: ZoneView, policies: PlanPolicies): readonly Action[] {
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
        surplus(view, service, declared).forEach(add);
        outdated(view, { service, declared, forming }, policies.rollout).forEach(add);
    });
    return [...removals.values(), ...formations];
}

/** Whether instances stand by for another group, though some of them are not yet proved to be done with their last. */
function mayFormSoon(view: ZoneView, service: string, declared: ModelService): boolean {
    const unowned = freeByDomain(view, instance => instanceIsRecalled(view.snapshot, instance), "unproved");
    const need = needsOf(view).find(found => found.service === service);
    const count = [...unowned.values()].reduce((sum, members) => sum + members.length, 0);
    return need !== undefined && need.missing > 0
        && count - declared.groupSize >= declared.spares
        && [...unowned.values()].some(members => members.length >= declared.groupSize);
}

/** Groups that cannot come right, and draining ones that have nothing left to do. */
function dissolutions(view: ZoneView): readonly Removal[] {
    const listed = new Set(view.instances.map(instance => instance.instance));
    return view.groups.flatMap((group): readonly Removal[] => {
        const standing = view.standings.get(group.group);
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

/** Weak groups whose survivors are worth more elsewhere. */
function breakUps(
    view: ZoneView,
    breakUp: BreakUp,
    free: Domains,
    formations: readonly Formation[],
): readonly Removal[] {
    const taken = new Set(formations.flatMap(formation => formation.members.map(member => member.instance)));
    const left = new Map([...free].map(([name, members]) => [name, without(members, taken)]));
    const weak = view.groups.filter(group => group.state === "active" && isBeyondHope(view, group)).map(group => ({
        group,
        survivors: group.members.filter(member => isUsable(view, member.instance)).length,
    }));
    return weakDomains(weak, left).flatMap(domain =>
        breakUp(domain).map(group => ({ kind: "dissolve" as const, group, reason: "its survivors complete another" }))
    );
}

function isUsable(view: ZoneView, instance: string): boolean {
    const listed = view.instances.find(known => known.instance === instance);
    return listed?.state === "live" && isFresh(view, instance) && !instanceIsRecalled(view.snapshot, instance);
}

/** Groups that must go whatever the floor says: recalled, leaving or no longer declared. */
function forcedDrains(view: ZoneView): readonly Removal[] {
    return view.groups.filter(group => group.state === "active").flatMap((group): readonly Removal[] => {
        const standing = view.standings.get(group.group);
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

/** Groups beyond the declared number; those that serve stay first, weak ones go at once. */
function surplus(view: ZoneView, service: string, declared: ModelService): readonly Removal[] {
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

/** Groups of an old version, adapter or shape, as far as the floor of serving replicas allows. */
function outdated(view: ZoneView, change: ServiceChange, rollout: Rollout): readonly Removal[] {
    const { service, declared, forming } = change;
    const reason = "replaced by another version or shape";
    const active = activeOf(view, service);
    const old = active.filter(group => !isCurrent(group, declared));
    const useless = old.filter(group => isWeak(view, group) || isProvedIdle(view, group));
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
    const going = old.filter(group => isServing(view, group)).slice(0, count);
    return [
        ...useless.map(group => ({
            kind: isWeak(view, group) ? "dissolve" as const : "drain" as const,
            group,
            reason,
        })),
        ...going.map(group => ({ kind: "drain" as const, group, reason })),
    ];
}

function formationsOf(view: ZoneView, policies: PlanPolicies, free: Domains): readonly Formation[] {
    const left = new Map(free);
    const largestSize = Math.max(
        0,
        ...servicesOfKind(view.snapshot, "model").map(([, { groupSize }]) => groupSize),
    );
    const formations: Formation[] = [];
    for (const need of policies.repairOrder(needsOf(view))) {
        const declared = view.snapshot.services.get(need.service) as ModelService;
        for (let added = 0; added < need.missing; added++) {
            const isSurge = need.present + added >= need.declared;
            const members = policies.spareChoice(left, {
                size: declared.groupSize,
                weights: weightsOf(declared),
                largestSize,
            });
            const freeCount = [...left.values()].reduce((sum, candidates) => sum + candidates.length, 0);
            if (members === undefined || isSurge && freeCount - members.length < declared.spares) {
                break;
            }
            const fabricDomain = members[0]!.fabricDomain;
            const taken = new Set(members.map(member => member.instance));
            left.set(fabricDomain, without(left.get(fabricDomain)!, taken));
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
