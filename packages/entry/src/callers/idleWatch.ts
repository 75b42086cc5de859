/**
 * Watches for an upstream that is connected and sends nothing.
 *
 * While the caller takes nothing the upstream is not to blame; a caller that never takes anything again is cut off by the
 * watcher of its connection, which ends the attempt.
 */
import { type Timer } from "@rattanquay/timer";

type Limits = { readonly upstreamIdleTimeoutMs: number };

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

export function watchIdle(timer: Timer, { upstreamIdleTimeoutMs }: Limits, onIdle: () => void): IdleWatch {
    let sinceMs = timer.nowMs();
    let paused = false;
    const restart = (isPaused: boolean) => (): void => {
        paused = isPaused;
        sinceMs = timer.nowMs();
    };
    const cancel = timer.every(Math.max(minCheckIntervalMs, upstreamIdleTimeoutMs / checksPerTimeout), () => {
        if (!paused && timer.nowMs() - sinceMs > upstreamIdleTimeoutMs) {
            onIdle();
        }
    });
    return { touch: restart(false), pause: restart(true), resume: restart(false), cancel };
}
