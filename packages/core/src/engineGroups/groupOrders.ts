/** Orders to engine instances, repeated only when their effect is not visible after some time. */
import { type EngineGroup, type EngineOrder, type UpstreamRecord } from "@rattanquay/schema";
import { type AddressedEngineOrder, type FleetView, incarnationOf } from "./fleetView";
import { type PlannerMemory } from "./plannerMemory";

/** An order is sent again when its effect is not visible after this time. */
const orderRetryMs = 700;

/** The inputs of one planning pass. */
export type PlanContext = {
    readonly view: FleetView;
    readonly memory: PlannerMemory;
    /** How long work stalls at a dead member before the group counts as broken. */
    readonly stallMs: number;
};

export function joinOrder({ group, epoch, model, members }: EngineGroup): EngineOrder {
    return { kind: "join", group, epoch, model, members: members.map(({ id }) => id) };
}

export function leaveOrder({ group, epoch }: Pick<EngineGroup, "group" | "epoch">): EngineOrder {
    return { kind: "leave", group, epoch };
}

export function orderKey(upstream: UpstreamRecord, order: EngineOrder): string {
    return `${incarnationOf(upstream)} ${order.kind} ${order.kind === "stage" ? order.model : order.group}`;
}

/** The order, or nothing if the same order was sent less than `orderRetryMs` ago. */
export function unlessRecentlySent(
    upstream: UpstreamRecord,
    order: EngineOrder,
    { view, memory }: PlanContext,
): AddressedEngineOrder[] {
    const key = orderKey(upstream, order);
    if (view.nowMs - (memory.sentAtMs.get(key) ?? -Infinity) < orderRetryMs) {
        return [];
    }
    memory.sentAtMs.set(key, view.nowMs);
    return [{ upstream, order }];
}
