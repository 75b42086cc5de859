import { type ObservedZone } from "../fleet";

/**
 * Whether a group may be given work now.
 *
 * The age of each member's evidence is checked, not the time of the group's last judgement. Otherwise a process that
 * was paused after a judgement would send requests based on evidence of nearly twice the allowed age.
 */
export function servesOnFreshEvidence(
    { groups, groupStatuses, evidence }: Pick<ObservedZone, "groups" | "groupStatuses" | "evidence">,
    replica: string,
    limits: { readonly nowMs: number; readonly maxAgeMs: number },
): boolean {
    const isFresh = (instance: string): boolean =>
        limits.nowMs - (evidence.get(instance)?.sentAtMs ?? -Infinity) <= limits.maxAgeMs;
    const group = groups.find(known => known.group === replica);
    return group !== undefined
        && groupStatuses.get(replica)?.kind === "serving"
        && group.members.every(member => isFresh(member.instance));
}
