/** State that the planner keeps between planning passes: past observations of instances, and orders already sent. */
import { type EngineOrder, type UpstreamRecord } from "@rattanquay/schema";
import { type FleetView, incarnationOf } from "./fleetView";
import { makeWeightLoadTracker, type WeightLoadTracker } from "./weightLoadTracker";

export type PlannerMemory = {
    readonly lastModels: Map<string, string>;
    /** When each order was last sent, by `orderKey`. */
    readonly sentAtMs: Map<string, number>;
    readonly drainingSinceMs: Map<string, number>;
    readonly formedAtMs: Map<string, number>;
    /** By group: the last time at which none of its members was visible. */
    readonly lastHiddenAtMs: Map<string, number>;
    /** Instances that were reachable when their entries were removed: they are leaving and still serve for a while. */
    readonly departing: Map<string, { readonly record: UpstreamRecord; readonly untilMs: number }>;
    /** The view of the previous plan. */
    before: Pick<FleetView, "upstreams" | "unreachable"> | undefined;
    /** When this holder's term started; undefined until it takes over the lease. */
    termBeganAtMs: number | undefined;
    /** Groups whose head has left them or never was in them. */
    readonly releasedGroups: Set<string>;
    /** By group: the break-up under way. */
    readonly breakUps: Map<string, BreakUp>;
    /** The break-up to which an order to a member belongs; orders to heads are not in it. */
    readonly memberLeaves: WeakMap<EngineOrder, BreakUp>;
    /** Groups whose head did not answer enough other processes in its own zone either. */
    readonly confirmedSilentGroups: Set<string>;
    /** The last known record of each group's head; orders can still be sent to it after its entry is gone. */
    readonly lastHeads: Map<string, UpstreamRecord>;
    /** By domain: the model that its free instances are reserved for. */
    readonly reserved: Map<string, { readonly model: string; readonly untilMs: number }>;
    readonly loads: WeightLoadTracker;
    /** Unreachable instances, kept after their entries are gone as well. */
    readonly silences: Map<string, Silence>;
    fence: number;
    usedEpochs: number;
    firstPlanAtMs: number | undefined;
    knownCount: number;
    lastRegistrationAtMs: number;
};

/**
 * A period in which an instance is unreachable. `concurrentCount` counts the instances that became unreachable within
 * `concurrencyWindowMs` of each other, including this one and those that have recovered since.
 */
export type Silence = { readonly sinceMs: number; concurrentCount: number };

/** Members of a group with a silent head are ordered to leave. `leftAtMs` is when the first one was known to have left. */
export type BreakUp = { leftAtMs: number | undefined };

/** `loadWindowMs` is the window over which the weight store's rate limit applies. */
export function makePlannerMemory(loadWindowMs: number): PlannerMemory {
    return {
        lastModels: new Map(),
        sentAtMs: new Map(),
        drainingSinceMs: new Map(),
        formedAtMs: new Map(),
        lastHiddenAtMs: new Map(),
        departing: new Map(),
        before: undefined,
        termBeganAtMs: undefined,
        releasedGroups: new Set(),
        breakUps: new Map(),
        memberLeaves: new WeakMap(),
        confirmedSilentGroups: new Set(),
        lastHeads: new Map(),
        reserved: new Map(),
        loads: makeWeightLoadTracker(loadWindowMs),
        silences: new Map(),
        fence: 0,
        usedEpochs: 0,
        firstPlanAtMs: undefined,
        knownCount: 0,
        lastRegistrationAtMs: 0,
    };
}

/** Discards all state that may be outdated because another process may have planned and sent orders in the meantime. */
export function resetForNewTerm(memory: PlannerMemory): void {
    memory.sentAtMs.clear();
    memory.releasedGroups.clear();
    memory.breakUps.clear();
    memory.confirmedSilentGroups.clear();
    memory.silences.clear();
    memory.lastHiddenAtMs.clear();
    memory.departing.clear();
    memory.before = undefined;
    memory.drainingSinceMs.clear();
    memory.reserved.clear();
}

/** Updates the memory with what the view shows about instances, groups and loads. */
export function recordObservations(view: FleetView, memory: PlannerMemory): void {
    if (view.fence !== memory.fence) {
        memory.fence = view.fence;
        memory.usedEpochs = 0;
    }
    memory.firstPlanAtMs ??= view.nowMs;
    if (view.upstreams.size > memory.knownCount) {
        memory.lastRegistrationAtMs = view.nowMs;
    }
    memory.knownCount = view.upstreams.size;
    for (const [domain, { untilMs }] of memory.reserved) {
        if (view.nowMs > untilMs) {
            memory.reserved.delete(domain);
        }
    }
    keepOnly(memory.lastHeads, view.groups);
    keepOnly(memory.breakUps, view.groups);
    for (const { group, members } of view.groups) {
        const head = view.upstreams.get(members[0]!.id);
        if (head?.bornAtMs === members[0]!.bornAtMs) {
            memory.lastHeads.set(group, head);
        }
    }
    memory.loads.removeEnded(view.upstreams, view.nowMs);
    trackSilences(view, memory);
    for (const record of view.upstreams.values()) {
        const { membership, loadedModels } = record;
        if (membership !== undefined && membership.state !== "joining" && loadedModels[0] !== undefined) {
            memory.lastModels.set(incarnationOf(record), loadedModels[0]);
        }
    }
}

/** Forgets the groups that have no row. */
function keepOnly(byGroup: Map<string, unknown>, groups: FleetView["groups"]): void {
    const names = new Set(groups.map(({ group }) => group));
    for (const name of byGroup.keys()) {
        if (!names.has(name)) {
            byGroup.delete(name);
        }
    }
}

/** Instances found unreachable within this time may share one cause, since they are not probed at the same moment. */
const concurrencyWindowMs = 700;
const silenceRetentionMs = 60_000;

function trackSilences({ nowMs, upstreams, unreachable }: FleetView, { silences }: PlannerMemory): void {
    for (const [id, { sinceMs }] of silences) {
        const answers = upstreams.has(id) && !unreachable.has(id);
        if (answers || nowMs - sinceMs > silenceRetentionMs) {
            silences.delete(id);
        }
    }
    for (const id of unreachable) {
        if (!silences.has(id)) {
            const others = [...silences.values()].filter(({ sinceMs }) => nowMs - sinceMs <= concurrencyWindowMs);
            others.forEach(other => other.concurrentCount++);
            silences.set(id, { sinceMs: nowMs, concurrentCount: others.length + 1 });
        }
    }
}

/** How long an instance whose entry was removed counts as leaving rather than gone. */
const departingMs = 4_000;

/** Returns the view with the records, marked as draining, of leaving instances whose entries are already gone. */
export function withDepartingInstances(view: FleetView, memory: PlannerMemory): FleetView {
    const { before, departing } = memory;
    for (const [id, record] of before?.upstreams ?? []) {
        if (!view.upstreams.has(id) && !before!.unreachable.has(id)) {
            departing.set(id, { record: { ...record, isDraining: true }, untilMs: view.nowMs + departingMs });
        }
    }
    memory.before = view;
    for (const [id, { untilMs }] of departing) {
        if (view.upstreams.has(id) || view.nowMs > untilMs) {
            departing.delete(id);
        }
    }
    const leaving = [...departing].map(([id, { record }]) => [id, record] as const);
    return leaving.length === 0 ? view : { ...view, upstreams: new Map([...view.upstreams, ...leaving]) };
}
