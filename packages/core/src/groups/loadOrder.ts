/** Named policies for the order in which groups load weights; the weight store cannot serve all of them at once. */
import { type GroupRow } from "@rattanquay/schema";

/** An active group with members that are not ready yet. */
export type LoadNeed = {
    readonly group: GroupRow;
    /** Share of the service's declared replicas that do not serve. */
    readonly missingShare: number;
    readonly priority: number;
    /** Number of members without cached weights, which must load them from the weight store. */
    readonly uncachedMembers: number;
};

export type LoadOrderPolicy = (needs: readonly LoadNeed[]) => readonly LoadNeed[];

export const loadOrderPolicies = {
    /** Groups that need nothing from the weight store first, then by missing share, then by priority. */
    cachedThenMostLacking: needs =>
        [...needs].sort((a, b) =>
            Number(a.uncachedMembers > 0) - Number(b.uncachedMembers > 0)
            || b.missingShare - a.missingShare
            || b.priority - a.priority
            || a.uncachedMembers - b.uncachedMembers
            || a.group.fence - b.group.fence
        ),
    /** In the order in which the groups were formed; the baseline policy. */
    firstFormed: needs => [...needs].sort((a, b) => a.group.fence - b.group.fence),
} satisfies Record<string, LoadOrderPolicy>;
