/**
 * Decides when to dial an address. Retries use exponential backoff with jitter, so that processes do not all reconnect
 * at once when a network partition ends.
 */

type Options = {
    readonly ownProcess: string;
    readonly nowMs: () => number;
    /** Numbers in [0, 1). */
    readonly random: () => number;
};

type Attempt = { readonly failures: number; readonly notBeforeMs: number };

export type DialBackoff = {
    /** Whether to dial now. `process` is `undefined` for seed addresses. */
    readonly isDue: (address: string, process: string | undefined) => boolean;
    readonly recordFailure: (address: string) => void;
    readonly recordSuccess: (address: string) => void;
    readonly hasFailed: (address: string) => boolean;
};

const firstDelayMs = 250;
const longestDelayMs = 1_500;
/** The process with the greater id first waits this long for the other to dial, so that usually only one link opens. */
const passiveDelayMs = 750;

export function makeDialBackoff({ ownProcess, nowMs, random }: Options): DialBackoff {
    const attempts = new Map<string, Attempt>();
    const firstSeenMs = new Map<string, number>();
    return {
        isDue: (address, process) => {
            const firstSeenAtMs = firstSeenMs.get(address) ?? nowMs();
            firstSeenMs.set(address, firstSeenAtMs);
            const isPassive = process !== undefined && process < ownProcess;
            const readyAtMs = Math.max(
                isPassive ? firstSeenAtMs + passiveDelayMs : firstSeenAtMs,
                attempts.get(address)?.notBeforeMs ?? 0,
            );
            return nowMs() >= readyAtMs;
        },
        recordFailure: address => {
            const failures = (attempts.get(address)?.failures ?? 0) + 1;
            const delayMs = Math.min(longestDelayMs, firstDelayMs * 2 ** failures) * (0.5 + random() / 2);
            attempts.set(address, { failures, notBeforeMs: nowMs() + delayMs });
        },
        recordSuccess: address => {
            attempts.delete(address);
            firstSeenMs.delete(address);
        },
        hasFailed: address => (attempts.get(address)?.failures ?? 0) > 1,
    };
}
