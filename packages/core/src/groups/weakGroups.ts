/** Named policies for dissolving weak groups (a member is missing) so that their survivors complete other groups. */
import { type GroupRow } from "@rattanquay/schema";
import { type CandidatesByDomain } from "./spares";

/** One fabric domain: its number of free instances, and its weak groups with the number of survivors of each. */
export type DomainWithWeakGroups = {
    readonly free: number;
    readonly weak: readonly { readonly group: GroupRow; readonly survivors: number }[];
};

/** Chooses the weak groups to dissolve. */
export type BreakUpPolicy = (domain: DomainWithWeakGroups) => readonly GroupRow[];

export const breakUpPolicies = {
    /** Dissolves as few weak groups as are needed to form one complete group, those with the most survivors first. */
    whenUseful: ({ free, weak }) => {
        const ranked = [...weak].sort((a, b) =>
            b.survivors - a.survivors || a.group.group.localeCompare(b.group.group)
        );
        const size = Math.min(...ranked.map(({ group }) => group.members.length));
        const chosen: GroupRow[] = [];
        let available = free;
        for (const { group, survivors } of ranked) {
            if (available >= size && available !== free) {
                break;
            }
            chosen.push(group);
            available += survivors;
        }
        return available >= size ? chosen : [];
    },
    /** Waits until the platform's instance list no longer contains the lost member; the baseline policy. */
    never: () => [],
} satisfies Record<string, BreakUpPolicy>;

/** Groups weak groups by their fabric domain. */
export function weakGroupsByDomain(
    weak: readonly { readonly group: GroupRow; readonly survivors: number }[],
    free: CandidatesByDomain,
): readonly DomainWithWeakGroups[] {
    const names = [...new Set(weak.map(({ group }) => group.fabricDomain))];
    return names.map(name => ({
        free: free.get(name)?.length ?? 0,
        weak: weak.filter(({ group }) => group.fabricDomain === name),
    }));
}
