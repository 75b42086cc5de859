/** What the planner remembers between two plans: what the records showed once, and what it has asked for. */
import { type UpstreamRecord, type WeightLoad } from "@rattanquay/schema";
import { type FleetView, incarnationOf } from "./fleetView";
import { type LoadLedger, makeLoadLedger } from "./loadLedger";
import { noteSilences, type Silence } from "./silences";

export type PlannerMemory = {
    readonly lastModels: Map<string, string>;
    /** Instants of orders by instance and meaning. */
    readonly sentAtMs: Map<string, number>;
    readonly drainingSince: Map<string, number>;
    readonly formedAt: Map<string, number>;
    /** When no member of a group was seen last. */
    readonly hiddenAtMs: Map<string, number>;
    /** Instances that answered when their entries were taken out: they are leaving, and serve on for a moment. */
    readonly departing: Map<string, { readonly record: UpstreamRecord; readonly untilMs: number }>;
    /** The view of the last plan. */
    before: Pick<FleetView, "upstreams" | "unreachable"> | undefined;
    /** When the holder that plans began to, if others may have planned before. */
    termBeganAtMs: number | undefined;
    readonly released: Set<string>;
    /** Groups whose head answers nobody beside it. */
    readonly witnessed: Set<string>;
    /** The last record of each group's head, by which it can be reached after its entry is gone. */
    readonly heads: Map<string, UpstreamRecord>;
    /** Domains whose free instances are kept for a model. */
    readonly reserved: Map<string, { readonly model: string; readonly untilMs: number }>;
    readonly loads: LoadLedger;
    /** Silences of instances, also after their entries are gone. */
    readonly silences: Map<string, Silence>;
    fence: number;
    usedEpochs: number;
    firstPlanAtMs: number | undefined;
    known: number;
    lastNewcomerAtMs: number;
};

/** `loadWindowMs` is the window in which the weight store's rate is judged. */
export function makePlannerMemory(loadWindowMs: number): PlannerMemory {
    return {
        lastModels: new Map(),
        sentAtMs: new Map(),
        drainingSince: new Map(),
        formedAt: new Map(),
        hiddenAtMs: new Map(),
        departing: new Map(),
        before: undefined,
        termBeganAtMs: undefined,
        released: new Set(),
        witnessed: new Set(),
        heads: new Map(),
        reserved: new Map(),
        loads: makeLoadLedger(loadWindowMs),
        silences: new Map(),
        fence: 0,
        usedEpochs: 0,
        firstPlanAtMs: undefined,
        known: 0,
        lastNewcomerAtMs: 0,
    };
}

/** Forgets what it saw and ordered in an earlier term, since others may have planned in between, and takes over their fetches. */
export function beginTerm(memory: PlannerMemory, loads: readonly WeightLoad[], nowMs: number): void {
    memory.termBeganAtMs = nowMs;
    memory.loads.restore(loads);
    memory.sentAtMs.clear();
    memory.released.clear();
    memory.witnessed.clear();
    memory.silences.clear();
    memory.hiddenAtMs.clear();
    memory.departing.clear();
    memory.before = undefined;
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
    memory.loads.settle(view.upstreams, view.nowMs);
    noteSilences(view, memory.silences);
    for (const record of view.upstreams.values()) {
        const { membership, loadedModels } = record;
        if (membership !== undefined && membership.state !== "joining" && loadedModels[0] !== undefined) {
            memory.lastModels.set(incarnationOf(record), loadedModels[0]);
        }
    }
}
