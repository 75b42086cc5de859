/** In which order groups are told to load, while the weight store cannot serve all at once; a policy by name. */
import { type GroupRow } from "@rattanquay/schema";

/** A group with members that have not taken up their assignment. */
export type LoadNeed = {
    readonly group: GroupRow;
    /** Share of the declared replicas that the service lacks. */
    readonly lack: number;
    readonly priority: number;
    /** Members that need the weight store. */
    readonly uncached: number;
};

export type LoadOrder = (needs: readonly LoadNeed[]) => readonly LoadNeed[];

export const loadOrders = {
    /** Whoever needs nothing from the store first, then the service that lacks most, then the larger priority. */
    cachedThenMostLacking: needs =>
        [...needs].sort((a, b) =>
            Number(a.uncached > 0) - Number(b.uncached > 0)
            || b.lack - a.lack
            || b.priority - a.priority
            || a.uncached - b.uncached
            || a.group.fence - b.group.fence
        ),
    /** In the order in which they were formed, the baseline. */
    firstFormed: needs => [...needs].sort((a, b) => a.group.fence - b.group.fence),
} satisfies Record<string, LoadOrder>;
