/** Tells answers of the store that bring a table up to date from those that lag behind what it has stated before. */
import { type StorePosition } from "@rattanquay/schema";
import { type StoreStamp } from "../ports";

/** Returns a function that takes the stamp of each answer and calls `onUpToDate` with the time at which it was asked for. */
export function makeAnswerCheck(onUpToDate: (askedAtMs: number) => void): (stamp: StoreStamp) => void {
    let newestRevision: StorePosition = 0;
    return ({ sentAtMs, storeRevision }) => {
        if (storeRevision >= newestRevision) {
            newestRevision = storeRevision;
            onUpToDate(sentAtMs);
        }
    };
}
