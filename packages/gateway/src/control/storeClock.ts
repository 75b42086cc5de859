/**
 * Converts between the local clock and the store's, which times the lease and the rows that its holders leave to each other.
 *
 * The store reads its clock at some moment between a question and its answer. A time that is converted either way is therefore never
 * earlier than the true one, but at most later by the time for which the store's answer took: nothing that waits for a time is done
 * too soon.
 */
import { type StoreStamp } from "../ports";

export type StoreClock = {
    /** Takes the clock of an answer that has just come. */
    readonly note: (stamp: StoreStamp) => void;
    readonly toStoreMs: (localMs: number) => number;
    readonly toLocalMs: (storeMs: number) => number;
};

export function makeStoreClock(nowMs: () => number): StoreClock {
    /** How far the store's clock is ahead of the local one, at most and at least. Kept when a later call gets no clear answer. */
    let mostAheadMs = 0;
    let leastAheadMs = 0;
    return {
        note: ({ sentAtMs, storeNowMs }) => {
            mostAheadMs = storeNowMs - sentAtMs;
            leastAheadMs = storeNowMs - nowMs();
        },
        toStoreMs: localMs => localMs + mostAheadMs,
        toLocalMs: storeMs => storeMs - leastAheadMs,
    };
}
