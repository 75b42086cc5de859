/**
 * How many of a service's places one of several processes may use, when all of them act on the same reports.
 *
 * A process may use what it had at the reports and an equal part of the gap that they show, so that all together fill
 * the gap once. While the replicas are not full it may go above that for a burst, as the bursts of the others hardly
 * ever come at the same instant; while they are full, the processes' parts drift towards equal ones, as their callers
 * are spread evenly. Without reports it falls back to an equal part of the places.
 */

/** How much work a replica has had over the last few reports: of all processes, and of this one. */
export type RecentLoad = { readonly total: number; readonly own: number };

/** One replica's part in the budget. */
export type BudgetPart = { readonly limit: number; readonly recent: RecentLoad | undefined };

/** Part of an equal share that a process may always use, whatever the reports say. */
const assuredShare = 0.5;
/** The replicas count as full by degrees once less than this part of their places is free. */
const fullFreeShare = 0.15;
/** How fast the processes' parts become equal while the replicas are full. */
const equalizingGain = 0.6;

export function placeBudget(parts: readonly BudgetPart[], peers: number): number {
    const limit = sum(parts.map(part => part.limit));
    const equal = limit / peers;
    const recent = sum(parts.map(part => part.recent?.total ?? part.limit));
    const own = sum(parts.map(part => part.recent?.own ?? part.limit / peers));
    const room = Math.min(1, Math.max(0, (limit - recent) / (limit * fullFreeShare)));
    const burst = peers === 1 ? 0 : Math.sqrt(equal) * room;
    const evening = equalizingGain * (1 - room) * (equal - own);
    const least = Math.max(Math.min(1, limit), equal * assuredShare);
    const wanted = own + (limit - recent) / peers + burst + evening;
    return Math.ceil(Math.min(limit, Math.max(least, wanted))) || 0;
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}
