/** A promise that is given up after a time. */
import { type Timer } from "@rattanquay/timer";

/** Resolves to undefined if `pending` takes longer than `timeoutMs`; what it resolves to later is dropped. */
export function withTimeout<T>(timer: Timer, timeoutMs: number, pending: Promise<T>): Promise<T | undefined> {
    return new Promise((resolve, reject) => {
        const cancel = timer.after(timeoutMs, () => resolve(undefined));
        pending.then(resolve, reject).finally(cancel);
    });
}
