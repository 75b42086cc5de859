/**
 * Divides the places of a service among several processes that all act on the same load reports.
 *
 * A process may use as many places as it used at the time of the reports, plus an equal part of the free ones, so that
 * together the processes fill them exactly once. While the replicas are not full, it may exceed that for a burst, since
 * bursts of different processes rarely coincide. While they are full, the budgets converge to equal ones, since callers
 * are spread evenly over the processes. Without reports, each process gets an equal part of the places.
 */

/** Average requests on a replica over the last few reports: of all processes, and of this one. */
export type RecentLoad = { readonly total: number; readonly own: number };

/** The limit and recent load of one replica, from which the budget is computed. */
export type BudgetPart = { readonly limit: number; readonly recent: RecentLoad | undefined };

/** Part of an equal share that a process may always use, regardless of the reports. */
const guaranteedShare = 0.5;
/** When a smaller part of the places is free, the burst headroom shrinks linearly and reaches zero at full load. */
const fullHeadroomShare = 0.15;
/** How fast the processes' budgets become equal while the replicas are full. */
const equalizingGain = 0.6;

export function placeBudget(parts: readonly BudgetPart[], peers: number): number {
    const limit = sum(parts.map(part => part.limit));
    const equalShare = limit / peers;
    const recent = sum(parts.map(part => part.recent?.total ?? part.limit));
    const own = sum(parts.map(part => part.recent?.own ?? part.limit / peers));
    const headroom = Math.min(1, Math.max(0, (limit - recent) / (limit * fullHeadroomShare)));
    const burst = peers === 1 ? 0 : Math.sqrt(equalShare) * headroom;
    const rebalancing = equalizingGain * (1 - headroom) * (equalShare - own);
    const minimum = Math.max(Math.min(1, limit), equalShare * guaranteedShare);
    const target = own + (limit - recent) / peers + burst + rebalancing;
    return Math.ceil(Math.min(limit, Math.max(minimum, target))) || 0;
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}
