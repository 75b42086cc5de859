/** The end of a process's life: since when it is stopping, and what is still running when it gives up. */
import { type Cancel } from "@rattanquay/timer";

export type Lifetime = {
    readonly beginStop: (nowMs: number) => void;
    /** When the stop began, on the local clock. Undefined while the process is not stopping. */
    readonly stoppingSinceMs: () => number | undefined;
    /** Calls `action` when the time to stop is over. */
    readonly onGiveUp: (action: () => void) => Cancel;
    readonly giveUp: () => void;
};

export function makeLifetime(): Lifetime {
    const actions = new Set<() => void>();
    let sinceMs: number | undefined;
    return {
        beginStop: nowMs => {
            sinceMs ??= nowMs;
        },
        stoppingSinceMs: () => sinceMs,
        onGiveUp: action => {
            actions.add(action);
            return () => actions.delete(action);
        },
        giveUp: () => [...actions].forEach(action => action()),
    };
}
