/** Ends a subscription; calling it twice is harmless. */
export type Cancel = () => void;

/** A source of time. Instants are monotonic milliseconds that mean nothing in another process. */
export type Timer = {
    readonly nowMs: () => number;
    /** Wall-clock time, for logs and reports only; no decision may rest on it. */
    readonly wallClock: () => Date;
    readonly after: (delayMs: number, action: () => void) => Cancel;
    readonly every: (periodMs: number, action: () => void) => Cancel;
};

/** Resolves after `delayMs`. */
export function sleep(timer: Timer, delayMs: number): Promise<void> {
    return new Promise(resolve => timer.after(delayMs, resolve));
}
