import { sleep, systemTimer } from "@rattanquay/timer";

const pollMs = 25;

/** Waits until `condition` holds; throws an error that names `what` if that takes longer than `timeoutMs`. */
export async function waitUntil(
    what: string,
    timeoutMs: number,
    condition: () => boolean | Promise<boolean>,
): Promise<void> {
    const deadlineMs = systemTimer.nowMs() + timeoutMs;
    while (!await condition()) {
        if (systemTimer.nowMs() > deadlineMs) {
            throw new Error(`waited ${timeoutMs} ms for: ${what}`);
        }
        await sleep(systemTimer, pollMs);
    }
}
