/** Checks running attempts for stalls. One timer serves all attempts, so that none needs its own. */
import { type Cancel, type Timer } from "@rattanquay/timer";

export type StallWatch = {
    /** Calls `isStalled` at each check, and `onStall` once when it returns true. */
    readonly add: (isStalled: (nowMs: number) => boolean, onStall: () => void) => Cancel;
    readonly stop: () => void;
};

const checkEveryMs = 75;

export function makeStallWatch(timer: Timer): StallWatch {
    const watched = new Set<{ readonly isStalled: (nowMs: number) => boolean; readonly onStall: () => void }>();
    const stop = timer.every(checkEveryMs, () => {
        const nowMs = timer.nowMs();
        for (const entry of [...watched]) {
            if (entry.isStalled(nowMs) && watched.delete(entry)) {
                entry.onStall();
            }
        }
    });
    return {
        add: (isStalled, onStall) => {
            const entry = { isStalled, onStall };
            watched.add(entry);
            return () => watched.delete(entry);
        },
        stop,
    };
}
