/**
 * How large a share of recent requests fared well, in all and by kind. Older requests count less, so that the shares
 * follow a change of the load within seconds.
 */
import { type WorkspaceShares } from "./workspaceShares";

export type RecentShares = {
    /** `utility` is 1 for a request that was served well, 0 for one that was not, or between. */
    readonly note: (kind: number, utility: number, nowMs: number) => void;
    /** The share over all kinds, 0 to 1; 1 without requests. */
    readonly all: (nowMs: number) => number;
    /** The share of one kind; undefined if too few of its requests are recent. */
    readonly ofKind: (kind: number, nowMs: number) => number | undefined;
};

/** Fewer requests of a kind tell nothing about it. */
const minRequests = 4;

/** Shares over the requests of all instances, from counts that they exchange while not all requests fare well. */
export function makeRecentShares(counts: WorkspaceShares, scope: string): RecentShares {
    return {
        note: (kind, utility, nowMs) => counts.note(scope, String(kind), utility, nowMs),
        all: nowMs => {
            let asked = 0;
            let started = 0;
            for (const sum of counts.sums(scope, nowMs).values()) {
                asked += sum.asked;
                started += sum.started;
            }
            return asked < minRequests ? 1 : started / asked;
        },
        ofKind: (kind, nowMs) => {
            const sum = counts.sums(scope, nowMs).get(String(kind));
            return sum === undefined || sum.asked < minRequests ? undefined : sum.started / sum.asked;
        },
    };
}
