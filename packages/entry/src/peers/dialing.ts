/** When to dial whom: with a delay that grows and varies, so that a healed cut brings no stampede. */

type Options = {
    readonly ownProcess: string;
    readonly nowMs: () => number;
    /** Numbers in [0, 1). */
    readonly random: () => number;
};

type Attempt = { readonly failures: number; readonly notBeforeMs: number };

export type Dialing = {
    /** Whether to dial now. `process` is unknown for addresses that are seeds. */
    readonly isDue: (address: string, process: string | undefined) => boolean;
    readonly noteFailure: (address: string) => void;
    readonly noteSuccess: (address: string) => void;
    readonly hasFailed: (address: string) => boolean;
};

const firstDelayMs = 250;
const longestDelayMs = 1_500;
/** The process with the greater id waits this long for the other one to dial. */
const courtesyMs = 750;

export function makeDialing({ ownProcess, nowMs, random }: Options): Dialing {
    const attempts = new Map<string, Attempt>();
    const firstSeenMs = new Map<string, number>();
    return {
        isDue: (address, process) => {
            const seenMs = firstSeenMs.get(address) ?? nowMs();
            firstSeenMs.set(address, seenMs);
            const waitsForOther = process !== undefined && process < ownProcess;
            const readyAtMs = Math.max(
                waitsForOther ? seenMs + courtesyMs : seenMs,
                attempts.get(address)?.notBeforeMs ?? 0,
            );
            return nowMs() >= readyAtMs;
        },
        noteFailure: address => {
            const failures = (attempts.get(address)?.failures ?? 0) + 1;
            const delayMs = Math.min(longestDelayMs, firstDelayMs * 2 ** failures) * (0.5 + random() / 2);
            attempts.set(address, { failures, notBeforeMs: nowMs() + delayMs });
        },
        noteSuccess: address => {
            attempts.delete(address);
            firstSeenMs.delete(address);
        },
        hasFailed: address => (attempts.get(address)?.failures ?? 0) > 1,
    };
}
