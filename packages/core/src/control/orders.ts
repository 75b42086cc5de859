/** Which orders the zone's instances need now. An order's arrival proves nothing: only evidence does. */
import { type GroupRow, InstanceRow, type ModelService, type Order, type Stored } from "@rattanquay/schema";
import { isServing, isWeak, lackOf, type LoadNeed, type LoadOrder, weightsOf, type ZoneView } from "../groups";

/** An order and the instance that it is for. */
export type AddressedOrder = { readonly instance: string; readonly address: string; readonly order: Order };

/** Groups that wait for the weight store at once; more would only make each of them later. */
const maxLoadingGroups = 16;

/**
 * Load orders for members that do not report their assignment, and unload orders for instances that report a group that
 * does not own them: what an order of an old holder did is undone.
 */
export function ordersOf(
    view: ZoneView,
    rows: ReadonlyMap<string, Stored>,
    loadOrder: LoadOrder,
): readonly AddressedOrder[] {
    return [...loads(view, loadOrder), ...unloads(view, rows)];
}

function loads(view: ZoneView, loadOrder: LoadOrder): readonly AddressedOrder[] {
    const needs = view.groups.filter(group => group.state === "active" && !isWeak(view, group))
        .filter(group => group.members.some((unused, rank) => !isReady(view, group, rank)))
        .map(group => loadNeed(view, group));
    const started = needs.filter(({ group }) => group.members.some((unused, rank) => hasTaken(view, group, rank)));
    const waiting = needs.filter(need => !started.includes(need));
    const atStore = started.filter(({ uncached }) => uncached > 0).length;
    const fromStore = loadOrder(waiting).filter(({ uncached }) => uncached > 0).slice(
        0,
        Math.max(0, maxLoadingGroups - atStore),
    );
    const chosen = loadOrder(waiting).filter(need => need.uncached === 0 || fromStore.includes(need));
    return [...started, ...chosen].flatMap(({ group }) =>
        group.members.flatMap((member, rank) =>
            hasTaken(view, group, rank)
                ? []
                : [{ instance: member.instance, address: member.address, order: loadOrderOf(group, rank) }]
        )
    );
}

function loadNeed(view: ZoneView, group: GroupRow): LoadNeed {
    const declared = view.snapshot.services.get(group.service) as ModelService | undefined;
    const serving = view.groups.filter(other => other.service === group.service && isServing(view, other)).length;
    const weights = weightsOf(group);
    return {
        group,
        lack: lackOf(declared?.replicas[view.availabilityZone] ?? 0, serving),
        priority: declared?.priority ?? 0,
        uncached:
            group.members.filter(member =>
                view.evidence.get(member.instance)?.info.cachedWeights.includes(weights) !== true
            ).length,
    };
}

function hasTaken(view: ZoneView, group: GroupRow, rank: number): boolean {
    const info = view.evidence.get(group.members[rank]!.instance)?.info;
    return info?.group === group.group && info.fence === group.fence;
}

function isReady(view: ZoneView, group: GroupRow, rank: number): boolean {
    return hasTaken(view, group, rank)
        && view.evidence.get(group.members[rank]!.instance)?.info.status === "ready";
}

function loadOrderOf(group: GroupRow, rank: number): Order {
    const { fence, model, version, adapter } = group;
    const members = group.members.map(member => member.address);
    return { kind: "load", group: group.group, fence, model, version, adapter, rank, members };
}

function unloads(view: ZoneView, rows: ReadonlyMap<string, Stored>): readonly AddressedOrder[] {
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
