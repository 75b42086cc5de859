/**
 * Breaks up groups whose head is silent, so that their other members can be used again.
 *
 * Silence cannot tell a dead head from one behind a network partition, which goes on serving for as long as the partition lasts.
 * What ends its service for certain is that a member leaves: the head then can do no more work, and counts as broken after
 * `stallMs`. So the members are ordered to leave, and the row is removed, which frees them, `stallMs` after the first of them
 * has confirmed it. A group that has been broken up so far is never put together again.
 */
import { type EngineGroup, type EngineOrder, type UpstreamRecord } from "@rattanquay/schema";
import { memberStatusOf } from "./evaluateEngineGroup";
import { type AddressedEngineOrder } from "./fleetView";
import { leaveOrder, type PlanContext, unlessRecentlySent } from "./groupOrders";
import { type GroupStep } from "./groupSteps";
import { type BreakUp, type PlannerMemory } from "./plannerMemory";

/** Added to `stallMs`, as the head may notice later than the member's answer arrives here that the member has left. */
const stallMarginMs = 300;
/**
 * A group whose head may be behind a partition is broken up after this many times `stallMs`, counted only while at least one
 * member is visible: a partition that hides all members may hide an intact group.
 */
const stallsBeforeBreakUp = 3;
/** If more instances than this become unreachable at about the same time, a network partition is assumed. */
const maxConcurrentDeaths = 3;

/** Since when a head can do no more work, as a member has left its group; undefined if that is not known. */
export function stalledSinceMs(group: EngineGroup, memory: PlannerMemory): number | undefined {
    return group.stalledSinceMs ?? memory.breakUps.get(group.group)?.leftAtMs;
}

/** Whether a group whose head has been silent since `lostSinceMs` should be given up for the use of its other members. */
export function isBreakUpDue(group: EngineGroup, isHeadGone: boolean, { view, memory, stallMs }: PlanContext): boolean {
    const lostForMs = view.nowMs - (group.lostSinceMs ?? view.nowMs);
    return isProbablyDead(group, memory) || (isHeadGone && lostForMs > stallMs * stallsBeforeBreakUp);
}

/**
 * Whether a silent head is rather dead than behind a partition: no process in its zone gets an answer from it, and few
 * instances became unreachable at the same time, whereas a partition isolates many at once.
 */
function isProbablyDead({ group, members }: EngineGroup, memory: PlannerMemory): boolean {
    const silence = memory.silences.get(members[0]!.id);
    return memory.confirmedSilentGroups.has(group) && silence !== undefined
        && silence.concurrentCount <= maxConcurrentDeaths;
}

/** Orders the visible members to leave. One that has restarted has left already. */
export function breakUp(group: EngineGroup, context: PlanContext): GroupStep {
    const { view } = context;
    const others = group.members.slice(1).map(member => memberStatusOf(group, member, view));
    if (others.some(({ kind }) => kind === "reborn")) {
        return { orders: [], rewrite: { ...group, stalledSinceMs: view.nowMs } };
    }
    return {
        orders: leaveOrders(
            group,
            others.flatMap(status => status.kind === "in" || status.kind === "outside" ? [status.record] : []),
            context,
        ),
    };
}

/** Orders to members other than the head. Their answers tell since when the head is stalled. */
function leaveOrders(
    group: EngineGroup,
    members: readonly UpstreamRecord[],
    context: PlanContext,
): readonly AddressedEngineOrder[] {
    const { breakUps, memberLeaves } = context.memory;
    const begun: BreakUp = breakUps.get(group.group) ?? { leftAtMs: undefined };
    breakUps.set(group.group, begun);
    const orders = members.flatMap(record => unlessRecentlySent(record, leaveOrder(group), context));
    orders.forEach(({ order }) => memberLeaves.set(order, begun));
    return orders;
}

/**
 * Records the outcome of an order to leave a group. An instance that rejects it is not a member. The answer of a member counts
 * for the break-up that the order belongs to: after an earlier one, the group may have been complete again.
 */
export function noteLeave(order: EngineOrder, isAnswered: boolean, memory: PlannerMemory, nowMs: number): void {
    const { memberLeaves, releasedGroups } = memory;
    const begun = memberLeaves.get(order);
    if (!isAnswered || order.kind !== "leave") {
        return;
    }
    if (begun === undefined) {
        releasedGroups.add(order.group);
        return;
    }
    begun.leftAtMs ??= nowMs;
}

/** Ends a group that a member has left: its head leaves if it can be reached, and else is broken after `stallMs`. */
export function endStalledGroup(group: EngineGroup, sinceMs: number, context: PlanContext): GroupStep {
    const { view, memory, stallMs } = context;
    const head = memberStatusOf(group, group.members[0]!, view);
    const isSilent = head.kind === "gone" || head.kind === "unreachable";
    const isBroken = isSilent && view.nowMs - sinceMs > stallMs + stallMarginMs;
    if (isBroken || head.kind === "reborn" || head.kind === "outside") {
        return { orders: [], remove: { group, reason: "a member has left, and its head does not serve any more" } };
    }
    const headRecord = head.kind === "gone" ? memory.lastHeads.get(group.group) : head.record;
    const members = group.members.slice(1).flatMap(member => {
        const status = memberStatusOf(group, member, view);
        return status.kind === "in" ? [status.record] : [];
    });
    const orders = [
        ...headRecord === undefined ? [] : unlessRecentlySent(headRecord, leaveOrder(group), context),
        ...leaveOrders(group, members, context),
    ];
    return group.stalledSinceMs === undefined
        ? { orders, rewrite: { ...group, stalledSinceMs: sinceMs } }
        : { orders };
}
