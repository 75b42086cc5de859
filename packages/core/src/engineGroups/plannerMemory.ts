/** What the planner remembers between two plans: what the records showed once, and what it has asked for. */
import { type UpstreamRecord } from "@rattanquay/schema";
import { type FleetView, incarnationOf } from "./fleetView";

export type PlannerMemory = {
    readonly lastModels: Map<string, string>;
    /** Instants of orders by instance and meaning. */
    readonly sentAtMs: Map<string, number>;
    readonly lostSince: Map<string, number>;
    readonly drainingSince: Map<string, number>;
    readonly formedAt: Map<string, number>;
    readonly released: Set<string>;
    /** Groups whose head answers nobody beside it. */
    readonly witnessed: Set<string>;
    /** The last record of each group's head, by which it can be reached after its entry is gone. */
    readonly heads: Map<string, UpstreamRecord>;
    /** Domains whose free instances are kept for a model. */
    readonly reserved: Map<string, { readonly model: string; readonly untilMs: number }>;
    /** Models that instances are fetching, by incarnation. */
    readonly staging: Map<string, { readonly model: string; readonly untilMs: number }>;
    fence: number;
    usedEpochs: number;
    firstPlanAtMs: number | undefined;
    known: number;
    lastNewcomerAtMs: number;
};
export function makePlannerMemory(): PlannerMemory {
    return {
        lastModels: new Map(),
        sentAtMs: new Map(),
        lostSince: new Map(),
        drainingSince: new Map(),
        formedAt: new Map(),
        released: new Set(),
        witnessed: new Set(),
        heads: new Map(),
        reserved: new Map(),
        staging: new Map(),
        fence: 0,
        usedEpochs: 0,
        firstPlanAtMs: undefined,
        known: 0,
        lastNewcomerAtMs: 0,
    };
}

/** Forgets what it remembers of orders, when another process may have sent some in between. */
export function forgetOrders(memory: PlannerMemory): void {
    memory.sentAtMs.clear();
    memory.released.clear();
    memory.witnessed.clear();
    memory.lostSince.clear();
    memory.drainingSince.clear();
    memory.reserved.clear();
}

/** Takes in what the records say about the past of each incarnation. */
export function observe(view: FleetView, memory: PlannerMemory): void {
    if (view.fence !== memory.fence) {
        memory.fence = view.fence;
        memory.usedEpochs = 0;
    }
    memory.firstPlanAtMs ??= view.nowMs;
    if (view.upstreams.size > memory.known) {
        memory.lastNewcomerAtMs = view.nowMs;
    }
    memory.known = view.upstreams.size;
    for (const [domain, { untilMs }] of memory.reserved) {
        if (view.nowMs > untilMs) {
            memory.reserved.delete(domain);
        }
    }
    for (const { group, members } of view.groups) {
        const head = view.upstreams.get(members[0]!.id);
        if (head?.bornAtMs === members[0]!.bornAtMs) {
            memory.heads.set(group, head);
        }
    }
    for (const record of view.upstreams.values()) {
        const { membership, loadedModels } = record;
        const incarnation = incarnationOf(record);
        if (membership !== undefined && membership.state !== "joining" && loadedModels[0] !== undefined) {
            memory.lastModels.set(incarnation, loadedModels[0]);
        }
        const staging = memory.staging.get(incarnation);
        if (staging !== undefined && (record.stagedModels.includes(staging.model) || view.nowMs > staging.untilMs)) {
            memory.staging.delete(incarnation);
        }
    }
}
