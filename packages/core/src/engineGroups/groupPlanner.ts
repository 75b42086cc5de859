/**
 * Plans the engine groups: which to form, open, close and give up.
 *
 * A group's row is written before its first order goes out, under the lease; its name and epoch are never used again, so
 * an order that is carried out late finds either its own group or none. A group is opened only when every member itself
 * says that it is ready in it. Its members are free for another group only when its head is known to serve no more: the
 * head left it, started anew, or has been gone for longer than work at it can stand still.
 */
import { type EngineGroup, type EngineOrder, type UpstreamRecord } from "@rattanquay/schema";
import { chooseFormations, type Formation } from "./chooseFormations";
import { chooseStaging } from "./chooseStaging";
import { chooseTakeover } from "./chooseTakeover";
import {
    type AddressedEngineOrder,
    type FleetView,
    type GroupPlan,
    incarnationOf,
    offersOf,
    type OrderResult,
    strayHeads,
} from "./fleetView";
import { joinCost } from "./joinCost";
import { type GroupCondition, judgeEngineGroup, standingOf } from "./judgeEngineGroup";
import { type LoadBounds, type LoadLedger, makeLoadLedger } from "./loadLedger";

export type GroupPlanner = {
    readonly plan: (view: FleetView) => GroupPlan;
    readonly noteOrder: (addressed: AddressedEngineOrder, outcome: OrderOutcome, nowMs: number) => void;
    /** Forgets what it remembers of orders, when another process may have sent some in between. */
    readonly reset: () => void;
};

/** How an order fared; `witnesses` is how many processes of the instance's own zone passed it on and got no answer either. */
export type OrderOutcome = { readonly result: OrderResult; readonly witnesses: number };

export type PlannerOptions = {
    /** How long work at a dead member stands still before the group counts as broken. */
    readonly stallMs: number;
    /** The window in which the weight store's rate is judged. */
    readonly loadWindowMs: number;
};

/** An order is sent again when what it should bring about does not show after this time. */
const orderRetryMs = 700;
/**
 * A head whose entry is gone and that answers nobody here may still live behind a cut. Its members are kept for this many
 * times the stall, counted only while one of them is seen: a cut that hides them all hides an intact group.
 */
const vanishedStalls = 3;
/** Processes beside a head whose entry is gone that must get no answer from it either, for it to count as dead. */
const enoughWitnesses = 2;
/** Time beyond the stall after which the group of a dead head has surely ended. */
const stallMarginMs = 300;
/** A domain's free instances are kept for a model in need for this long, while groups are being given up for it. */
const reservationMs = 6_000;
/** A leaving member's group may finish its work for this long before it is taken apart. */
const drainLimitMs = 2_500;
/** A group that is not complete after this many times its load time is given up. */
const joinPatience = 3;
/** Without traffic, forming waits until no instance has registered for this long, for better packing. */
const settleMs = 900;
const settleLimitMs = 4_500;
/** Epochs that one term of the lease can use. */
const epochsPerFence = 100_000;

type Memory = {
    readonly lastModels: Map<string, string>;
    /** Instants of orders by instance and meaning. */
    readonly sent: Map<string, number>;
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

export function makeGroupPlanner(options: PlannerOptions): GroupPlanner {
    const memory: Memory = {
        lastModels: new Map(),
        sent: new Map(),
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
    let ledger: LoadLedger | undefined;
    const ledgerOf = (view: FleetView): LoadLedger => {
        ledger ??= makeLoadLedger(loadBounds(view, options.loadWindowMs));
        return ledger;
    };
    return {
        plan: view => {
            observe(view, memory);
            const conditions = view.groups.map(group => ({ group, condition: judgeEngineGroup(group, view) }));
            const steps = conditions.map(({ group, condition }) =>
                stepOf(group, condition, { view, memory, options })
            );
            const removed = steps.flatMap(({ remove }) => remove === undefined ? [] : [remove]);
            const gone = new Set(removed.map(({ group }) => group.group));
            const after = { ...view, groups: view.groups.filter(({ group }) => !gone.has(group)) };
            takeOver(after, conditions, memory);
            const form = isSettling(after, memory) ? [] : formGroups(after, memory, ledgerOf(view));
            const strays = strayHeads(view).flatMap(record => leaveStray(record, { view, memory, options }));
            const stage = isSettling(after, memory)
                ? []
                : stageWeights({ ...after, groups: [...after.groups, ...form] }, memory, ledgerOf(view));
            return { form, remove: removed, orders: [...steps.flatMap(({ orders }) => orders), ...strays, ...stage] };
        },
        noteOrder: ({ upstream, order }, { result, witnesses }, nowMs) => {
            // An instance that declines to leave a group is not in it.
            if (order.kind === "leave" && result !== "unanswered") {
                memory.released.add(order.group);
            }
            if (order.kind === "leave" && witnesses >= enoughWitnesses) {
                memory.witnessed.add(order.group);
            }
            if (result === "unanswered") {
                memory.sent.set(keyOf(upstream, order), nowMs);
            }
        },
        reset: () => {
            memory.sent.clear();
            memory.released.clear();
            memory.witnessed.clear();
            memory.lostSince.clear();
            memory.drainingSince.clear();
            memory.reserved.clear();
        },
    };
}

function loadBounds(view: FleetView, windowMs: number): LoadBounds {
    const engine = view.services.find(({ engine: found }) => found !== undefined)?.engine;
    return { perSecond: engine?.loadsPerSecond ?? 1, atOnce: engine?.loadsAtOnce ?? 1, windowMs };
}

/** Takes in what the records say about the past of each incarnation. */
function observe(view: FleetView, memory: Memory): void {
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

/** Whether instances are still registering at the first start, when waiting costs nobody anything. */
function isSettling(view: FleetView, memory: Memory): boolean {
    const sincePlan = view.nowMs - (memory.firstPlanAtMs ?? view.nowMs);
    return !view.hasTraffic && view.groups.length === 0
        && view.nowMs - memory.lastNewcomerAtMs < settleMs && sincePlan < settleLimitMs;
}

type Context = { readonly view: FleetView; readonly memory: Memory; readonly options: PlannerOptions };
type Step = { readonly orders: readonly AddressedEngineOrder[]; readonly remove?: GroupPlan["remove"][number] };

const nothing: Step = { orders: [] };

type ConditionHandlers = {
    readonly [K in GroupCondition["kind"]]: (
        group: EngineGroup,
        condition: Extract<GroupCondition, { readonly kind: K }>,
        context: Context,
    ) => Step;
};

const handlers: ConditionHandlers = {
    joining: (group, { missing }, context) => {
        if (isOverdue(group, context)) {
            const head = context.view.upstreams.get(group.members[0]!.id);
            return giveUp(group, head, "it did not become complete in time", context);
        }
        return { orders: missing.flatMap(record => once(record, joinOrder(group), context)) };
    },
    complete: (group, { head }, context) => {
        if (context.memory.drainingSince.has(group.group)) {
            return giveUp(group, head, "closed for the sake of its members", context);
        }
        return { orders: once(head, { kind: "open", group: group.group, epoch: group.epoch }, context) };
    },
    serving: (group, { head }, context) => {
        if (!context.memory.drainingSince.has(group.group)) {
            return nothing;
        }
        return { orders: once(head, { ...closeOrder, group: group.group, epoch: group.epoch }, context) };
    },
    closing: (group, { head }, context) =>
        context.memory.drainingSince.has(group.group) ? drain(group, head, context) : nothing,
    draining: (group, { head, isServing }, context) => {
        const { memory, view } = context;
        memory.drainingSince.set(group.group, memory.drainingSince.get(group.group) ?? view.nowMs);
        return isServing
            ? {
                orders: [
                    ...once(head, { ...closeOrder, group: group.group, epoch: group.epoch }, context),
                    ...drain(group, head, context).orders,
                ],
            }
            : drain(group, head, context);
    },
    lost: (group, { head, reason }, context) => {
        const { memory, view } = context;
        const isSeen = group.members.some(member => standingOf(group, member, view).kind === "in");
        const sinceMs = isSeen ? memory.lostSince.get(group.group) ?? view.nowMs : view.nowMs;
        memory.lostSince.set(group.group, sinceMs);
        if (head.kind === "reborn" || head.kind === "outside") {
            return giveUp(group, undefined, reason, context);
        }
        const { stallMs } = context.options;
        const keptMs = memory.witnessed.has(group.group) ? stallMs + stallMarginMs : stallMs * vanishedStalls;
        const isOver = head.kind === "gone" && view.nowMs - sinceMs > keptMs;
        const record = head.kind === "gone" ? memory.heads.get(group.group) : head.record;
        return giveUp(group, isOver ? undefined : record, reason, context, isOver);
    },
};

const closeOrder = { kind: "close", finishesQueue: true } as const;

function stepOf(group: EngineGroup, condition: GroupCondition, context: Context): Step {
    if (context.memory.released.has(group.group)) {
        const reason = condition.kind === "lost" ? condition.reason : "its head left";
        return { orders: [], remove: { group, reason } };
    }
    if (condition.kind !== "lost") {
        context.memory.lostSince.delete(group.group);
        context.memory.witnessed.delete(group.group);
    }
    const handler = handlers[condition.kind] as (group: EngineGroup, condition: GroupCondition, c: Context) => Step;
    return handler(group, condition, context);
}

/** Takes a group apart: its head leaves first, then its row goes and its members are free. */
function giveUp(
    group: EngineGroup,
    head: UpstreamRecord | undefined,
    reason: string,
    context: Context,
    mayRelease = true,
): Step {
    if (head === undefined) {
        return mayRelease ? { orders: [], remove: { group, reason } } : nothing;
    }
    return { orders: once(head, { kind: "leave", group: group.group, epoch: group.epoch }, context) };
}

/** Lets a group with a leaving member finish, for a while. */
function drain(group: EngineGroup, head: UpstreamRecord, context: Context): Step {
    const sinceMs = context.memory.drainingSince.get(group.group) ?? context.view.nowMs;
    const isOver = context.view.nowMs - sinceMs > drainLimitMs || head.membership?.state === "ready";
    return isOver ? giveUp(group, head, "a member leaves", context) : nothing;
}

function leaveStray(record: UpstreamRecord, context: Context): readonly AddressedEngineOrder[] {
    const { membership } = record;
    return membership === undefined
        ? []
        : once(record, { kind: "leave", group: membership.group, epoch: membership.epoch }, context);
}

type Judged = { readonly group: EngineGroup; readonly condition: GroupCondition };

/** Begins to give groups up for a model in greater need, one such step at a time. */
function takeOver(view: FleetView, judged: readonly Judged[], memory: Memory): void {
    if (!view.hasTraffic || memory.reserved.size > 0) {
        return;
    }
    const serving = new Set(
        judged.filter(({ condition }) => condition.kind === "serving").map(({ group }) => group.group),
    );
    const takeover = chooseTakeover(view, memory, ({ group }) => serving.has(group) && !memory.drainingSince.has(group));
    if (takeover !== undefined) {
        const { domain, offer, groups } = takeover;
        memory.reserved.set(domain, { model: offer.model.model, untilMs: view.nowMs + reservationMs });
        groups.forEach(({ group }) => memory.drainingSince.set(group, view.nowMs));
    }
}

function isOverdue(group: EngineGroup, { view, memory }: Context): boolean {
    const formedAt = memory.formedAt.get(group.group) ?? view.nowMs;
    memory.formedAt.set(group.group, formedAt);
    const offer = offersOf(view).find(({ model }) => model.model === group.model);
    return view.nowMs - formedAt > (offer?.model.loadMs ?? 0) * joinPatience;
}

function joinOrder({ group, epoch, model, members }: EngineGroup): EngineOrder {
    return { kind: "join", group, epoch, model, members: members.map(({ id }) => id) };
}

function keyOf(upstream: UpstreamRecord, order: EngineOrder): string {
    return `${incarnationOf(upstream)} ${order.kind} ${order.kind === "stage" ? order.model : order.group}`;
}

/** The order, unless it went out a moment ago. */
function once(upstream: UpstreamRecord, order: EngineOrder, { view, memory }: Context): AddressedEngineOrder[] {
    const key = keyOf(upstream, order);
    if (view.nowMs - (memory.sent.get(key) ?? -Infinity) < orderRetryMs) {
        return [];
    }
    memory.sent.set(key, view.nowMs);
    return [{ upstream, order }];
}

function formGroups(view: FleetView, memory: Memory, ledger: LoadLedger): readonly EngineGroup[] {
    const formations = chooseFormations(view, {
        mayLoad: !view.hasTraffic,
        lastModels: memory.lastModels,
        isStaging: record => memory.staging.has(incarnationOf(record)),
        reservedFor: domain => memory.reserved.get(domain)?.model,
    });
    formations.forEach(({ offer, members }) => {
        const domain = members[0]!.fabricDomain ?? "";
        if (memory.reserved.get(domain)?.model === offer.model.model) {
            memory.reserved.delete(domain);
        }
    });
    return formations.map(formation => groupOf(formation, view, memory, ledger));
}

function groupOf({ offer, members }: Formation, view: FleetView, memory: Memory, ledger: LoadLedger): EngineGroup {
    memory.usedEpochs++;
    const epoch = view.fence * epochsPerFence + memory.usedEpochs;
    const group = `g${epoch}`;
    memory.formedAt.set(group, view.nowMs);
    if (view.hasTraffic) {
        members
            .map(record => joinCost(record, offer, memory.lastModels))
            .filter(({ needsLoad }) => needsLoad)
            .forEach(({ ms }) => ledger.note(view.nowMs, ms));
    }
    return {
        group,
        epoch,
        service: offer.service,
        model: offer.model.model,
        members: members.map(({ id, bornAtMs }) => ({ id, bornAtMs })),
    };
}

function stageWeights(view: FleetView, memory: Memory, ledger: LoadLedger): readonly AddressedEngineOrder[] {
    const chosen = chooseStaging(view, {
        allowance: view.hasTraffic ? ledger.allowance(view.nowMs) : Infinity,
        lastModels: memory.lastModels,
        stagingOf: record => memory.staging.get(incarnationOf(record))?.model,
    });
    return chosen.map(({ record, offer }) => {
        const { model, loadMs } = offer.model;
        memory.staging.set(incarnationOf(record), { model, untilMs: view.nowMs + loadMs * joinPatience });
        if (view.hasTraffic) {
            ledger.note(view.nowMs, loadMs);
        }
        return { upstream: record, order: { kind: "stage", model } };
    });
}
