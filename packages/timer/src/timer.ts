/** Cancels a scheduled action. Further calls have no effect. */
export type Cancel = () => void;

/** A source of time. `nowMs` is monotonic and cannot be compared between processes. */
export type Timer = {
    readonly nowMs: () => number;
    /** Wall-clock time, for logs and reports only. Do not base decisions on it. */
    readonly wallClock: () => Date;
    readonly after: (delayMs: number, action: () => void) => Cancel;
    readonly every: (periodMs: number, action: () => void) => Cancel;
};

/** Resolves after `delayMs`. */
export function sleep(timer: Timer, delayMs: number): Promise<void> {
    return new Promise(resolve => timer.after(delayMs, resolve));
}
