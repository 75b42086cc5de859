import { type GroupRow, type Member, type ServerInfo } from "@rattanquay/schema";

/** An instance's report about itself, and when the probe that returned it was sent, on the prober's clock. */
export type Evidence = { readonly info: ServerInfo; readonly sentAtMs: number };

/** Reasons besides evidence to stop sending work to a group: leaving or recalled instances, and recalled versions. */
export type GroupExclusions = {
    readonly leaving: ReadonlySet<string>;
    readonly recalledInstances: ReadonlySet<string>;
    readonly versionRecalled: boolean;
};

/** Whether a group may receive new work; if not, why, and whether it can recover without intervention. */
export type GroupStatus =
    | { readonly kind: "serving" }
    /** There is no valid evidence yet, or it is too old. The group may still become (or return to) `serving`. */
    | { readonly kind: "unproved"; readonly reason: string }
    /** The group gets no new work; running work may finish. */
    | { readonly kind: "leaving"; readonly reason: string }
    /** The group cannot recover and must be dissolved. */
    | { readonly kind: "broken"; readonly reason: string };

type Limits = { readonly nowMs: number; readonly maxAgeMs: number };

/**
 * Evaluates a group. The age of evidence counts from when the probe was sent, so a slow answer never looks fresher than it
 * is, and only the prober's clock is read. A member with a new boot id breaks the group, whatever else it reports.
 */
export function evaluateGroup(
    group: GroupRow,
    evidence: ReadonlyMap<string, Evidence>,
    surroundings: GroupExclusions,
    limits: Limits,
): GroupStatus {
    const memberStatuses = group.members.map(member =>
        evaluateMember(group, member, evidence.get(member.instance), limits)
    );
    const broken = memberStatuses.find(standing => standing.kind === "broken");
    if (broken !== undefined) {
        return broken;
    }
    const leaving = leavingReason(group, surroundings);
    if (leaving !== undefined) {
        return { kind: "leaving", reason: leaving };
    }
    return memberStatuses.find(standing => standing.kind === "unproved") ?? { kind: "serving" };
}

function leavingReason(group: GroupRow, surroundings: GroupExclusions): string | undefined {
    if (group.state === "draining") {
        return "the group is draining";
    }
    if (surroundings.versionRecalled) {
        return `version ${group.version} of ${group.model} is recalled`;
    }
    const recalled = group.members.find(member => surroundings.recalledInstances.has(member.instance));
    if (recalled !== undefined) {
        return `instance ${recalled.instance} is recalled`;
    }
    const leaving = group.members.find(member => surroundings.leaving.has(member.instance));
    return leaving === undefined ? undefined : `instance ${leaving.instance} is leaving`;
}

function evaluateMember(group: GroupRow, member: Member, evidence: Evidence | undefined, limits: Limits): GroupStatus {
    if (evidence === undefined) {
        return { kind: "unproved", reason: `no evidence of ${member.instance}` };
    }
    const { info, sentAtMs } = evidence;
    if (info.bootId !== member.bootId) {
        return { kind: "broken", reason: `${member.instance} has restarted` };
    }
    if (limits.nowMs - sentAtMs > limits.maxAgeMs) {
        return { kind: "unproved", reason: `evidence of ${member.instance} is too old` };
    }
    if (info.status === "failed") {
        return { kind: "broken", reason: `${member.instance} reports failure` };
    }
    return reportsAssignment(group, info)
        ? { kind: "serving" }
        : { kind: "unproved", reason: `${member.instance} does not report the assignment` };
}

function reportsAssignment(group: GroupRow, info: ServerInfo): boolean {
    return info.status === "ready"
        && info.group === group.group
        && info.fence === group.fence
        && info.model === group.model
        && info.version === group.version
        && info.adapter === group.adapter;
}
