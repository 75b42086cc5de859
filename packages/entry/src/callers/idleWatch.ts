/** Detects an upstream that is connected but sends nothing. */
import { type Timer } from "@rattanquay/timer";

export type IdleWatch = {
    /** Called when the upstream has sent something. */
    readonly touch: () => void;
    /** Suspends the timeout while the caller does not read. The upstream is not at fault; the listener handles it. */
    readonly pause: () => void;
    readonly resume: () => void;
    readonly cancel: () => void;
};

const checksPerTimeout = 10;
const minCheckIntervalMs = 10;

export function watchIdle(timer: Timer, timeoutMs: number, onIdle: () => void): IdleWatch {
    let sinceMs = timer.nowMs();
    let paused = false;
    const restart = (isPaused: boolean) => (): void => {
        paused = isPaused;
        sinceMs = timer.nowMs();
    };
    const cancel = timer.every(Math.max(minCheckIntervalMs, timeoutMs / checksPerTimeout), () => {
        if (!paused && timer.nowMs() - sinceMs > timeoutMs) {
            onIdle();
        }
    });
    return { touch: restart(false), pause: restart(true), resume: restart(false), cancel };
}
