/** What is done about one group in each condition that it can be in. */
import { type EngineGroup, type EngineOrder, type UpstreamRecord } from "@rattanquay/schema";
import { type AddressedEngineOrder, type FleetView, type GroupPlan, incarnationOf, offersOf } from "./fleetView";
import { type GroupCondition, standingOf } from "./judgeEngineGroup";
import { type PlannerMemory } from "./plannerMemory";

/** An order is sent again when what it should bring about does not show after this time. */
const orderRetryMs = 700;
/**
 * A head whose entry is gone and that answers nobody here may still live behind a cut. Its members are kept for this many
 * times the stall, counted only while one of them is seen: a cut that hides them all hides an intact group.
 */
const vanishedStalls = 3;
/** More instances than this that fall silent at about the same time are taken for cut off. */
const mostDyingTogether = 3;
/** Time beyond the stall after which the group of a dead head has surely ended. */
const stallMarginMs = 300;
/** A leaving member's group may finish its work for this long before it is taken apart. */
const drainLimitMs = 2_500;
/** A group that is not complete after this many times its load time is given up. */
const joinPatience = 3;

/** Entries that lapsed come back within about two seconds, and each instance is asked again within less. */
const reappearMs = 2_200;

/** One plan in the making. */
export type PlanContext = {
    readonly view: FleetView;
    readonly memory: PlannerMemory;
    /** How long work at a dead member stands still before the group counts as broken. */
    readonly stallMs: number;
};
/** What is to be done about one group. */
export type GroupStep = {
    readonly orders: readonly AddressedEngineOrder[];
    readonly remove?: GroupPlan["remove"][number];
    /** The group's row as it should stand now. */
    readonly rewrite?: EngineGroup;
};

const nothing: GroupStep = { orders: [] };

type ConditionHandlers = {
    readonly [K in GroupCondition["kind"]]: (
        group: EngineGroup,
        condition: Extract<GroupCondition, { readonly kind: K }>,
        context: PlanContext,
    ) => GroupStep;
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
    lost: (group, { head, reason, isCertain }, context) => {
        const { memory, view } = context;
        if (head.kind === "reborn" || head.kind === "outside") {
            return giveUp(group, undefined, reason, context);
        }
        const isSeen = group.members.some(member => standingOf(group, member, view).kind === "in");
        if (!isSeen) {
            memory.hiddenAtMs.set(group.group, view.nowMs);
        }
        const mark = markLost(group, isSeen, view.nowMs);
        if (mark !== undefined) {
            return mark;
        }
        if (!isCertain && mayReappear(group, context)) {
            return nothing;
        }
        const isOver = head.kind === "gone" && isOutwaited(group, context);
        const record = head.kind === "gone" ? memory.heads.get(group.group) : head.record;
        return giveUp(group, isOver ? undefined : record, reason, context, isOver);
    },
};

/** Has the group's row say since when a member is missing: only while another is seen, since a cut can hide a whole group. */
function markLost(group: EngineGroup, isSeen: boolean, nowMs: number): GroupStep | undefined {
    const isMarked = group.lostSinceMs !== undefined;
    return isMarked === isSeen
        ? undefined
        : { orders: [], rewrite: { ...group, lostSinceMs: isSeen ? nowMs : undefined } };
}

/** Whether a head whose entry is gone has been missing for so long that it surely serves no more. */
function isOutwaited(group: EngineGroup, context: PlanContext): boolean {
    const { view, stallMs } = context;
    const keptMs = isSurelyDead(group, context) ? stallMs + stallMarginMs : stallMs * vanishedStalls;
    return group.lostSinceMs !== undefined && view.nowMs - group.lostSinceMs > keptMs;
}

/** Whether a head that answers nobody has died rather than been cut off: a cut parts many from everybody at once. */
function isSurelyDead({ group, members }: EngineGroup, { memory }: PlanContext): boolean {
    const silence = memory.silences.get(members[0]!.id);
    return memory.witnessed.has(group) && silence !== undefined && silence.together <= mostDyingTogether;
}

/** Whether the members that are not seen may be on their way back, after a cut or to a holder that has just begun. */
function mayReappear({ group }: EngineGroup, { view, memory }: PlanContext): boolean {
    const hiddenAtMs = Math.max(memory.hiddenAtMs.get(group) ?? -Infinity, memory.termBeganAtMs ?? -Infinity);
    return view.nowMs - hiddenAtMs < reappearMs;
}

const closeOrder = { kind: "close", finishesQueue: true } as const;

export function stepOf(group: EngineGroup, condition: GroupCondition, context: PlanContext): GroupStep {
    if (context.memory.released.has(group.group)) {
        const reason = condition.kind === "lost" ? condition.reason : "its head left";
        return { orders: [], remove: { group, reason } };
    }
    if (condition.kind !== "lost") {
        context.memory.witnessed.delete(group.group);
    }
    const step = act(group, condition, context);
    const isBack = condition.kind !== "lost" && step.remove === undefined && group.lostSinceMs !== undefined;
    return isBack ? { ...step, rewrite: { ...group, lostSinceMs: undefined } } : step;
}

function act(group: EngineGroup, condition: GroupCondition, context: PlanContext): GroupStep {
    const handler = handlers[condition.kind] as (
        group: EngineGroup,
        condition: GroupCondition,
        c: PlanContext,
    ) => GroupStep;
    return handler(group, condition, context);
}

/** Takes a group apart: its head leaves first, then its row goes and its members are free. */
function giveUp(
    group: EngineGroup,
    head: UpstreamRecord | undefined,
    reason: string,
    context: PlanContext,
    mayRelease = true,
): GroupStep {
    if (head === undefined) {
        return mayRelease ? { orders: [], remove: { group, reason } } : nothing;
    }
    return { orders: once(head, { kind: "leave", group: group.group, epoch: group.epoch }, context) };
}

/** Lets a group with a leaving member finish, for a while. */
function drain(group: EngineGroup, head: UpstreamRecord, context: PlanContext): GroupStep {
    const sinceMs = context.memory.drainingSince.get(group.group) ?? context.view.nowMs;
    const isOver = context.view.nowMs - sinceMs > drainLimitMs || head.membership?.state === "ready";
    return isOver ? giveUp(group, head, "a member leaves", context) : nothing;
}

export function leaveStray(record: UpstreamRecord, context: PlanContext): readonly AddressedEngineOrder[] {
    const { membership } = record;
    return membership === undefined
        ? []
        : once(record, { kind: "leave", group: membership.group, epoch: membership.epoch }, context);
}

function isOverdue(group: EngineGroup, { view, memory }: PlanContext): boolean {
    const formedAt = memory.formedAt.get(group.group) ?? view.nowMs;
    memory.formedAt.set(group.group, formedAt);
    const offer = offersOf(view).find(({ model }) => model.model === group.model);
    return view.nowMs - formedAt > (offer?.model.loadMs ?? 0) * joinPatience;
}

function joinOrder({ group, epoch, model, members }: EngineGroup): EngineOrder {
    return { kind: "join", group, epoch, model, members: members.map(({ id }) => id) };
}

export function orderKey(upstream: UpstreamRecord, order: EngineOrder): string {
    return `${incarnationOf(upstream)} ${order.kind} ${order.kind === "stage" ? order.model : order.group}`;
}

/** The order, unless it went out a moment ago. */
function once(upstream: UpstreamRecord, order: EngineOrder, { view, memory }: PlanContext): AddressedEngineOrder[] {
    const key = orderKey(upstream, order);
    if (view.nowMs - (memory.sentAtMs.get(key) ?? -Infinity) < orderRetryMs) {
        return [];
    }
    memory.sentAtMs.set(key, view.nowMs);
    return [{ upstream, order }];
}
