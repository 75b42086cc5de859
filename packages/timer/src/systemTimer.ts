import { type Timer } from "./timer";

/** The operating system's time. Actions of `every` do not keep the process alive; pending actions of `after` do. */
export const systemTimer: Timer = {
    nowMs: () => performance.now(),
    wallClock: () => new Date(),
    after: (delayMs, action) => {
        const handle = setTimeout(action, delayMs);
        return () => clearTimeout(handle);
    },
    every: (periodMs, action) => {
        const handle = setInterval(action, periodMs);
        handle.unref();
        return () => clearInterval(handle);
    },
};
