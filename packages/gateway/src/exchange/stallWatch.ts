/** Looks after sends that wait for something: one check for all of them, so that a wait costs no timer of its own. */
import { type Cancel, type Timer } from "@rattanquay/timer";

export type StallWatch = {
    /** Calls `isOver` at each check, and `act` once when it says so. */
    readonly add: (isOver: (nowMs: number) => boolean, act: () => void) => Cancel;
    readonly stop: () => void;
};

const checkEveryMs = 75;

export function makeStallWatch(timer: Timer): StallWatch {
    const watched = new Set<{ readonly isOver: (nowMs: number) => boolean; readonly act: () => void }>();
    const stop = timer.every(checkEveryMs, () => {
        const nowMs = timer.nowMs();
        for (const entry of [...watched]) {
            if (entry.isOver(nowMs) && watched.delete(entry)) {
                entry.act();
            }
        }
    });
    return {
        add: (isOver, act) => {
            const entry = { isOver, act };
            watched.add(entry);
            return () => watched.delete(entry);
        },
        stop,
    };
}
