/** Watches for an upstream that is connected and sends nothing. */
import { type Timer } from "@rattanquay/timer";

export type IdleWatch = {
    /** The upstream has sent something. */
    readonly touch: () => void;
    /** The caller takes nothing for now, and its listener deals with that: the upstream is not to blame meanwhile. */
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
