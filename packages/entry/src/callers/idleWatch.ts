/** Watches for an upstream that is connected and sends nothing, and for a caller that takes nothing. */
import { type Timer } from "@rattanquay/timer";

type Limits = { readonly upstreamIdleTimeoutMs: number; readonly callerStallTimeoutMs: number };

export type IdleWatch = {
    /** The upstream has sent something. */
    readonly touch: () => void;
    /** The caller takes nothing for now: the upstream is not to blame until it does again. */
    readonly pause: () => void;
    readonly resume: () => void;
    readonly cancel: () => void;
};

const checksPerTimeout = 10;
const minCheckIntervalMs = 10;

export function watchIdle(
    timer: Timer,
    limits: Limits,
    on: { readonly upstreamIdle: () => void; readonly callerStalled: () => void },
): IdleWatch {
    let sinceMs = timer.nowMs();
    let paused = false;
    const restart = (isPaused: boolean) => (): void => {
        paused = isPaused;
        sinceMs = timer.nowMs();
    };
    const shortestMs = Math.min(limits.upstreamIdleTimeoutMs, limits.callerStallTimeoutMs);
    const cancel = timer.every(Math.max(minCheckIntervalMs, shortestMs / checksPerTimeout), () => {
        const limitMs = paused ? limits.callerStallTimeoutMs : limits.upstreamIdleTimeoutMs;
        if (timer.nowMs() - sinceMs > limitMs) {
            (paused ? on.callerStalled : on.upstreamIdle)();
        }
    });
    return { touch: restart(false), pause: restart(true), resume: restart(false), cancel };
}
