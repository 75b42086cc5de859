/** Counts loads from the weight store against its rate, in a sliding window. */
export type LoadLedger = {
    readonly note: (nowMs: number, durationMs: number) => void;
    /** Loads that may begin now. */
    readonly allowance: (nowMs: number) => number;
};

export type LoadBounds = { readonly perSecond: number; readonly atOnce: number; readonly windowMs: number };

/** Part of the rate that is used: a load may begin later than it was ordered, next to others. */
const usedShare = 0.7;

export function makeLoadLedger({ perSecond, atOnce, windowMs }: LoadBounds): LoadLedger {
    let loads: readonly { readonly atMs: number; readonly endsAtMs: number }[] = [];
    return {
        note: (nowMs, durationMs) => {
            loads = [...loads, { atMs: nowMs, endsAtMs: nowMs + durationMs }];
        },
        allowance: nowMs => {
            loads = loads.filter(({ atMs, endsAtMs }) => nowMs - atMs < windowMs || nowMs < endsAtMs);
            const begun = loads.filter(({ atMs }) => nowMs - atMs < windowMs).length;
            const running = loads.filter(({ endsAtMs }) => nowMs < endsAtMs).length;
            const byRate = Math.floor(perSecond * windowMs / 1_000 * usedShare) - begun;
            return Math.max(0, Math.min(byRate, atOnce - running));
        },
    };
}
