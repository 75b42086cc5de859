/** What the fuzz test's world is made of, and what its oracle counts. */
import { type PlanningLease } from "@rattanquay/schema";

/** The lease row, and until when the store does not answer. */
export type StoreState = { row: PlanningLease | undefined; revision: number; downUntilMs: number };

export type WorldOptions = {
    readonly seed: number;
    readonly processes: number;
    readonly limit: number;
    /** Mean time between two requests of one process. */
    readonly requestEveryMs: number;
    /** Whether faults occur: without them, messages take 1 to 9 ms and arrive. */
    readonly hasFaults: boolean;
};

/** An upstream as it really is. */
export type TrueUpstream = {
    readonly id: string;
    coldForMs: number;
    bornAtMs: number;
    coldUntilMs: number;
    /** No process sends to it: it is down, or its zone is evacuated. */
    isOut: boolean;
    readonly sentAtMs: number[];
    /** Sends that the process made without a grant, as it took the upstream for warm. */
    ungranted: number;
};

/** The most sends within any second; each send is counted whether or not it also arrives within that second. */
export function mostInAnySecond(sentAtMs: readonly number[]): number {
    let most = 0;
    let first = 0;
    sentAtMs.forEach((atMs, index) => {
        while (atMs - sentAtMs[first]! >= 1_000) {
            first++;
        }
        most = Math.max(most, index - first + 1);
    });
    return most;
}
