/** Whether the rest of a group that lacks a member is given up, so that its survivors complete another; by name. */
import { type GroupRow } from "@rattanquay/schema";
import { type Domains } from "./spares";

/** One fabric domain: its free instances, and its weak groups with the survivors that each would set free. */
export type WeakDomain = {
    readonly free: number;
    readonly weak: readonly { readonly group: GroupRow; readonly survivors: number }[];
};

/** Chooses the weak groups to dissolve. */
export type BreakUp = (domain: WeakDomain) => readonly GroupRow[];

export const breakUps = {
    /** Gives up as few weak groups as make one whole group, those with most survivors first. */
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
    /** Waits until the platform's list drops the member, the baseline. */
    never: () => [],
} satisfies Record<string, BreakUp>;

/** Sorts weak groups by their domain. */
export function weakDomains(
    weak: readonly { readonly group: GroupRow; readonly survivors: number }[],
    free: Domains,
): readonly WeakDomain[] {
    const names = [...new Set(weak.map(({ group }) => group.fabricDomain))];
    return names.map(name => ({
        free: free.get(name)?.length ?? 0,
        weak: weak.filter(({ group }) => group.fabricDomain === name),
    }));
}
