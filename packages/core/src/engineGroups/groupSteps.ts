/** Decides the orders and row changes for one group, by the group's condition. */
import { type EngineGroup, type UpstreamRecord } from "@rattanquay/schema";
import { breakUp, endStalledGroup, isBreakUpDue, stalledSinceMs } from "./breakUp";
import { awaitsEndOfEvacuation } from "./evacuation";
import { type GroupCondition, type MemberStatus, memberStatusOf } from "./evaluateEngineGroup";
import { type AddressedEngineOrder, type GroupPlan, serviceModelsOf } from "./fleetView";
import { joinOrder, leaveOrder, type PlanContext, unlessRecentlySent } from "./groupOrders";

/** A group with a leaving member may finish its work for this long before it is dissolved. */
const drainLimitMs = 2_500;
/** A group that is not complete after this many times its model's load time is dissolved. */
const joinTimeoutFactor = 3;

/** Lapsed entries reappear within about two seconds, and each instance is probed again in less than that. */
const reappearGraceMs = 2_200;

/** The orders and row changes for one group. */
export type GroupStep = {
    readonly orders: readonly AddressedEngineOrder[];
    readonly remove?: GroupPlan["remove"][number];
    /** The group's new row. */
    readonly rewrite?: EngineGroup;
};

const noStep: GroupStep = { orders: [] };

type ConditionHandlers = {
    readonly [K in GroupCondition["kind"]]: (
        group: EngineGroup,
        condition: Extract<GroupCondition, { readonly kind: K }>,
        context: PlanContext,
    ) => GroupStep;
};

const handlers: ConditionHandlers = {
    joining: (group, { missing }, context) => {
        if (isJoinOverdue(group, context)) {
            const head = context.view.upstreams.get(group.members[0]!.id);
            return dissolve(group, head, "not all members joined in time", context);
        }
        return { orders: missing.flatMap(record => unlessRecentlySent(record, joinOrder(group), context)) };
    },
    complete: (group, { head }, context) => {
        if (context.memory.drainingSinceMs.has(group.group)) {
            return dissolve(group, head, "its members are leaving or needed by another model", context);
        }
        return { orders: unlessRecentlySent(head, { kind: "open", group: group.group, epoch: group.epoch }, context) };
    },
    serving: (group, { head }, context) => {
        if (!context.memory.drainingSinceMs.has(group.group)) {
            return noStep;
        }
        return { orders: unlessRecentlySent(head, { ...closeOrder, group: group.group, epoch: group.epoch }, context) };
    },
    closing: (group, { head }, context) =>
        context.memory.drainingSinceMs.has(group.group) ? drain(group, head, context) : noStep,
    draining: (group, { head, isServing }, context) => {
        const { memory, view } = context;
        memory.drainingSinceMs.set(group.group, memory.drainingSinceMs.get(group.group) ?? view.nowMs);
        return isServing
            ? {
                orders: [
                    ...unlessRecentlySent(head, { ...closeOrder, group: group.group, epoch: group.epoch }, context),
                    ...drain(group, head, context).orders,
                ],
            }
            : drain(group, head, context);
    },
    lost: (group, { head, reason, isCertain }, context) => {
        const { memory, view } = context;
        const isAnyMemberVisible = group.members.some(member => isVisible(memberStatusOf(group, member, view)));
        if (!isAnyMemberVisible) {
            memory.lastHiddenAtMs.set(group.group, view.nowMs);
        }
        if (head.kind === "reborn" || head.kind === "outside") {
            return dissolve(group, undefined, reason, context);
        }
        if (isAnyMemberVisible && group.lostSinceMs === undefined) {
            return { orders: [], rewrite: { ...group, lostSinceMs: view.nowMs } };
        }
        if (!isCertain && mayReappear(group, context)) {
            return noStep;
        }
        if (head.kind === "in") {
            return dissolve(group, head.record, reason, context);
        }
        const record = head.kind === "gone" ? memory.lastHeads.get(group.group) : head.record;
        const leaving = record === undefined ? [] : unlessRecentlySent(record, leaveOrder(group), context);
        const isDue = isAnyMemberVisible && isBreakUpDue(group, head.kind === "gone", context);
        const step = isDue ? breakUp(group, context) : noStep;
        return { ...step, orders: [...leaving, ...step.orders] };
    },
};

function isVisible({ kind }: MemberStatus): boolean {
    return kind === "in" || kind === "outside";
}

/**
 * Whether the missing members may still reappear: all members were hidden a moment ago, or the holder's term has just
 * started.
 */
function mayReappear({ group }: EngineGroup, { view, memory }: PlanContext): boolean {
    const uncertainAtMs = Math.max(memory.lastHiddenAtMs.get(group) ?? -Infinity, memory.termBeganAtMs ?? -Infinity);
    return view.nowMs - uncertainAtMs < reappearGraceMs;
}

const closeOrder = { kind: "close", finishesQueue: true } as const;

export function planGroupStep(group: EngineGroup, condition: GroupCondition, context: PlanContext): GroupStep {
    if (context.memory.releasedGroups.has(group.group)) {
        const reason = condition.kind === "lost" ? condition.reason : "the head left";
        return { orders: [], remove: { group, reason } };
    }
    if (awaitsEndOfEvacuation(group, condition, context.view, context.memory)) {
        return noStep;
    }
    const sinceMs = stalledSinceMs(group, context.memory);
    if (sinceMs !== undefined) {
        return endStalledGroup(group, sinceMs, context);
    }
    if (condition.kind !== "lost") {
        context.memory.confirmedSilentGroups.delete(group.group);
        context.memory.breakUps.delete(group.group);
    }
    const step = handleCondition(group, condition, context);
    const hasRecovered = condition.kind !== "lost" && step.remove === undefined && group.lostSinceMs !== undefined;
    return hasRecovered ? { ...step, rewrite: { ...group, lostSinceMs: undefined } } : step;
}

function handleCondition(group: EngineGroup, condition: GroupCondition, context: PlanContext): GroupStep {
    const handler = handlers[condition.kind] as (
        group: EngineGroup,
        condition: GroupCondition,
        c: PlanContext,
    ) => GroupStep;
    return handler(group, condition, context);
}

/** Dissolves a group: its head leaves first, then its row is removed, which frees its members. */
function dissolve(
    group: EngineGroup,
    head: UpstreamRecord | undefined,
    reason: string,
    context: PlanContext,
): GroupStep {
    return head === undefined
        ? { orders: [], remove: { group, reason } }
        : { orders: unlessRecentlySent(head, leaveOrder(group), context) };
}

/** Dissolves a group that is being closed once its head has finished its work or `drainLimitMs` has passed. */
function drain(group: EngineGroup, head: UpstreamRecord, context: PlanContext): GroupStep {
    const sinceMs = context.memory.drainingSinceMs.get(group.group) ?? context.view.nowMs;
    const isOver = context.view.nowMs - sinceMs > drainLimitMs || head.membership?.state === "ready";
    return isOver ? dissolve(group, head, "its members are leaving or needed by another model", context) : noStep;
}

export function leaveOrphanedGroup(record: UpstreamRecord, context: PlanContext): readonly AddressedEngineOrder[] {
    const { membership } = record;
    return membership === undefined
        ? []
        : unlessRecentlySent(record, leaveOrder(membership), context);
}

function isJoinOverdue(group: EngineGroup, { view, memory }: PlanContext): boolean {
    const formedAtMs = memory.formedAtMs.get(group.group) ?? view.nowMs;
    memory.formedAtMs.set(group.group, formedAtMs);
    const serviceModel = serviceModelsOf(view).find(({ model }) => model.model === group.model);
    return view.nowMs - formedAtMs > (serviceModel?.model.loadMs ?? 0) * joinTimeoutFactor;
}
