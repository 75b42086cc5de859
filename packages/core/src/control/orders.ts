/** Determines the orders that instances need now. Only evidence, not delivery, shows that an order took effect. */
import { type GroupRow, InstanceRow, type KeyedRow, type ModelService, type Order } from "@rattanquay/schema";
import {
    isServing,
    isWeak,
    type LoadNeed,
    type LoadOrderPolicy,
    missingShareOf,
    weightsNameOf,
    type ZoneView,
} from "../groups";

/** An order and the instance that it is sent to. */
export type AddressedOrder = { readonly instance: string; readonly address: string; readonly order: Order };

/** Maximum number of groups that load from the weight store at once; more would only delay each of them. */
const maxLoadingGroups = 16;

/**
 * Returns load orders for members that do not report their assignment, and unload orders for instances that report a
 * group although no group owns them. The latter undoes the effects of orders sent by a previous lease holder.
 */
export function planOrders(
    view: ZoneView,
    rows: ReadonlyMap<string, KeyedRow>,
    loadOrder: LoadOrderPolicy,
): readonly AddressedOrder[] {
    return [...loadOrders(view, loadOrder), ...unloadOrders(view, rows)];
}

function loadOrders(view: ZoneView, loadOrder: LoadOrderPolicy): readonly AddressedOrder[] {
    const needs = view.groups.filter(group => group.state === "active" && !isWeak(view, group))
        .filter(group => group.members.some((unused, rank) => !isReady(view, group, rank)))
        .map(group => loadNeed(view, group));
    const started = needs.filter(({ group }) =>
        group.members.some((unused, rank) => hasAcceptedAssignment(view, group, rank))
    );
    const waiting = needs.filter(need => !started.includes(need));
    const loadingFromStore = started.filter(({ uncachedMembers }) => uncachedMembers > 0).length;
    const nextFromStore = loadOrder(waiting).filter(({ uncachedMembers }) => uncachedMembers > 0).slice(
        0,
        Math.max(0, maxLoadingGroups - loadingFromStore),
    );
    const chosen = loadOrder(waiting).filter(need => need.uncachedMembers === 0 || nextFromStore.includes(need));
    return [...started, ...chosen].flatMap(({ group }) =>
        group.members.flatMap((member, rank) =>
            hasAcceptedAssignment(view, group, rank)
                ? []
                : [{ instance: member.instance, address: member.address, order: loadOrderOf(group, rank) }]
        )
    );
}

function loadNeed(view: ZoneView, group: GroupRow): LoadNeed {
    const declared = view.snapshot.services.get(group.service) as ModelService | undefined;
    const serving = view.groups.filter(other => other.service === group.service && isServing(view, other)).length;
    const weights = weightsNameOf(group);
    return {
        group,
        missingShare: missingShareOf(declared?.replicas[view.availabilityZone] ?? 0, serving),
        priority: declared?.priority ?? 0,
        uncachedMembers:
            group.members.filter(member =>
                view.evidence.get(member.instance)?.info.cachedWeights.includes(weights) !== true
            ).length,
    };
}

function hasAcceptedAssignment(view: ZoneView, group: GroupRow, rank: number): boolean {
    const info = view.evidence.get(group.members[rank]!.instance)?.info;
    return info?.group === group.group && info.fence === group.fence;
}

function isReady(view: ZoneView, group: GroupRow, rank: number): boolean {
    return hasAcceptedAssignment(view, group, rank)
        && view.evidence.get(group.members[rank]!.instance)?.info.status === "ready";
}

function loadOrderOf(group: GroupRow, rank: number): Order {
    const { fence, model, version, adapter } = group;
    const members = group.members.map(member => member.address);
    return { kind: "load", group: group.group, fence, model, version, adapter, rank, members };
}

function unloadOrders(view: ZoneView, rows: ReadonlyMap<string, KeyedRow>): readonly AddressedOrder[] {
    const owned = new Set(view.groups.flatMap(group => group.members.map(member => member.instance)));
    return view.instances.flatMap(({ instance, address }) => {
        const reported = view.evidence.get(instance)?.info.group;
        const row = rows.get(`instance/${instance}`);
        if (reported === undefined || row === undefined || owned.has(instance)) {
            return [];
        }
        const { fence } = InstanceRow.parse(row.body);
        return [{ instance, address, order: { kind: "unload" as const, group: reported, fence } }];
    });
}
