/** Derives a group's condition from what its members report. */
import { type EngineGroup, type MembershipState, type UpstreamRecord } from "@rattanquay/schema";
import { type FleetView } from "./fleetView";

/** The state that a member reports in this group, or why it no longer counts as a member. */
export type MemberStatus =
    | { readonly kind: "in"; readonly state: MembershipState; readonly record: UpstreamRecord }
    /** Reachable, but in no group or in another one. */
    | { readonly kind: "outside"; readonly record: UpstreamRecord }
    | { readonly kind: "unreachable"; readonly record: UpstreamRecord }
    /** Restarted under the same id, without any knowledge of the group. */
    | { readonly kind: "reborn" }
    /** The store has no entry for it. */
    | { readonly kind: "gone" };

export type GroupCondition =
    | { readonly kind: "joining"; readonly missing: readonly UpstreamRecord[] }
    /** Every member is ready; the head can be opened. */
    | { readonly kind: "complete"; readonly head: UpstreamRecord }
    | { readonly kind: "serving"; readonly head: UpstreamRecord }
    | { readonly kind: "closing"; readonly head: UpstreamRecord }
    /** A member is draining and will leave. */
    | { readonly kind: "draining"; readonly head: UpstreamRecord; readonly isServing: boolean }
    | {
        readonly kind: "lost";
        readonly head: MemberStatus;
        readonly reason: string;
        /** Whether the loss follows from a member's own report, and not only from a member that is missing. */
        readonly isCertain: boolean;
    };

export function memberStatusOf(
    group: EngineGroup,
    member: EngineGroup["members"][number],
    view: FleetView,
): MemberStatus {
    const record = view.upstreams.get(member.id);
    if (record === undefined) {
        return { kind: "gone" };
    }
    if (record.bornAtMs !== member.bornAtMs) {
        return { kind: "reborn" };
    }
    if (view.unreachable.has(record.id)) {
        return { kind: "unreachable", record };
    }
    const { membership } = record;
    return membership?.group === group.group && membership.epoch === group.epoch
        ? { kind: "in", state: membership.state, record }
        : { kind: "outside", record };
}

/** Derives the group's condition from its member in the worst status. */
export function evaluateEngineGroup(group: EngineGroup, view: FleetView): GroupCondition {
    const statuses = group.members.map(member => memberStatusOf(group, member, view));
    const head = statuses[0]!;
    const absent = statuses.find(({ kind }) => kind === "reborn")
        ?? statuses.find(({ kind }) => kind === "gone" || kind === "unreachable");
    if (absent !== undefined) {
        return { kind: "lost", head, reason: `a member is ${absent.kind}`, isCertain: absent.kind === "reborn" };
    }
    const present = statuses.flatMap(standing => standing.kind === "in" ? [standing] : []);
    const missing = statuses.flatMap(standing => standing.kind === "outside" ? [standing.record] : []);
    if (present.some(({ state }) => state === "broken")) {
        return { kind: "lost", head, reason: "a member reports that it is broken", isCertain: true };
    }
    const isOpen = head.kind === "in" && (head.state === "open" || head.state === "closing");
    if (isOpen && missing.length > 0) {
        return { kind: "lost", head, reason: "a member left", isCertain: true };
    }
    const leaving = present.some(({ record }) => record.isDraining) || missing.some(({ isDraining }) => isDraining);
    if (leaving) {
        return head.kind === "in"
            ? { kind: "draining", head: head.record, isServing: head.state === "open" }
            : { kind: "lost", head, reason: "a member is leaving before the group is complete", isCertain: true };
    }
    if (missing.length > 0 || head.kind !== "in") {
        return { kind: "joining", missing };
    }
    if (isOpen) {
        return { kind: head.state === "open" ? "serving" : "closing", head: head.record };
    }
    return present.every(({ state }) => state === "ready")
        ? { kind: "complete", head: head.record }
        : { kind: "joining", missing };
}
