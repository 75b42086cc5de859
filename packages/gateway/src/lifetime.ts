/** The graceful stop of a process: its deadlines, and the actions to run when requests have to be aborted. */
import { type RemainingLife } from "@rattanquay/core";
import { type Cancel } from "@rattanquay/timer";

export type Stop = RemainingLife & {
    /** When the stop began, on the local clock. */
    readonly sinceMs: number;
};

export type Lifetime = {
    readonly beginStop: (stop: Stop) => void;
    /** Undefined while the process is not stopping. */
    readonly stop: () => Stop | undefined;
    /** Calls `action` when the time to stop is over. */
    readonly onGiveUp: (action: () => void) => Cancel;
    readonly giveUp: () => void;
};

export function makeLifetime(): Lifetime {
    const actions = new Set<() => void>();
    let begun: Stop | undefined;
    return {
        beginStop: stop => {
            begun ??= stop;
        },
        stop: () => begun,
        onGiveUp: action => {
            actions.add(action);
            return () => actions.delete(action);
        },
        giveUp: () => [...actions].forEach(action => action()),
    };
}
