/** The input of one planning pass: the instances and groups as the holder of the planning lease sees them. */
import {
    type EngineGroup,
    type EngineModel,
    type EngineOrder,
    type EngineProfile,
    type ServingService,
    type UpstreamRecord,
    type WeightLoad,
} from "@rattanquay/schema";

export type FleetView = {
    readonly nowMs: number;
    readonly services: readonly ServingService[];
    readonly upstreams: ReadonlyMap<string, UpstreamRecord>;
    /** The groups' rows in the store. */
    readonly groups: readonly EngineGroup[];
    /** Instances that did not answer the last probes while most other instances did. */
    readonly unreachable: ReadonlySet<string>;
    /** Zones whose instances are to serve nothing for now; absent if there are none. */
    readonly evacuatedZones?: ReadonlySet<string>;
    /** By model: running and waiting requests per place in its serving groups. A model without data has no entry. */
    readonly utilization: ReadonlyMap<string, number>;
    /** Whether any caller's request has arrived. From then on, loads of weights are rate limited. */
    readonly hasTraffic: boolean;
    /** The fencing number of the lease. Epochs are derived from it and therefore increase with each holder. */
    readonly fence: number;
};

export type AddressedEngineOrder = { readonly upstream: UpstreamRecord; readonly order: EngineOrder };

/** The result of one planning pass. Rows are written first; orders are sent after the store has accepted the rows. */
export type GroupPlan = {
    readonly form: readonly EngineGroup[];
    /** Rows of existing groups to update. */
    readonly rewrite: readonly EngineGroup[];
    readonly remove: readonly { readonly group: EngineGroup; readonly reason: string }[];
    /** All rate-limited weight loads, to be stored for the next holder; undefined when this plan starts none. */
    readonly loads: readonly WeightLoad[] | undefined;
    readonly orders: readonly AddressedEngineOrder[];
};

/** An instance's answer to an order. */
export type OrderResult =
    | "accepted"
    /** The order does not fit the instance's state. */
    | "rejected"
    /**
     * The order may have been accepted, or may still be executed later. This includes refused connections, since a
     * network partition can refuse them as well.
     */
    | "unanswered";

/** A model of an engine service, with the service's engine profile. */
export type ServiceModel = { readonly service: string; readonly engine: EngineProfile; readonly model: EngineModel };

export function serviceModelsOf(view: FleetView): readonly ServiceModel[] {
    return view.services.flatMap(({ service, engine }) =>
        engine === undefined ? [] : engine.models.map(model => ({ service, engine, model }))
    );
}

/** Identifies one incarnation of an instance; a restart under the same id is a new incarnation. */
export function incarnationOf({ id, bornAtMs }: { readonly id: string; readonly bornAtMs: number }): string {
    return `${id}@${bornAtMs}`;
}

/**
 * Engine instances that can join a new group: reachable, not draining, in no group's row, and not members of a group
 * without a row whose head may still serve.
 */
export function freeInstances(view: FleetView, service: string): readonly UpstreamRecord[] {
    const owned = new Set(view.groups.flatMap(({ members }) => members.map(incarnationOf)));
    const orphaned = orphanedHeads(view);
    const orphanedGroups = new Set(orphaned.map(({ membership }) => groupKeyOf(membership)));
    return [...view.upstreams.values()].filter(record =>
        record.service === service
        && !record.isDraining
        && !view.unreachable.has(record.id)
        && !owned.has(incarnationOf(record))
        && !orphanedGroups.has(groupKeyOf(record.membership))
    );
}

/**
 * Heads that are open or closing in a group without a row, for example because an order was executed late. They must
 * leave that group before its instances can be used again.
 */
export function orphanedHeads(view: FleetView): readonly UpstreamRecord[] {
    const rows = new Set(view.groups.map(groupKeyOf));
    return [...view.upstreams.values()].filter(({ membership }) =>
        (membership?.state === "open" || membership?.state === "closing") && !rows.has(groupKeyOf(membership))
    );
}

/** Identifies a group by its name and epoch. */
function groupKeyOf(group: { readonly group: string; readonly epoch: number } | undefined): string | undefined {
    return group === undefined ? undefined : `${group.group}/${group.epoch}`;
}
