/**
 * Which process holds the planning lease, as far as a process knows. Most processes seldom read the lease row; they learn
 * of the holder from the load reports of others. A wrong view costs answers, never the limit: only the holder grants.
 */

/** A holder as reported; `ageMs` is the time since the holder itself, or a reading of the row, stated it. */
export type ReportedHolder = { readonly instance: string; readonly fence: number; readonly ageMs: number };

export type HolderView = {
    readonly note: (holder: ReportedHolder, nowMs: number) => void;
    /** The holder of the newest term that was stated lately. */
    readonly current: (nowMs: number) => ReportedHolder | undefined;
};

/**
 * An older statement is dropped, so that a high fence is not believed for ever after the lease row was lost and fences
 * began again at 1.
 */
export const holderMaxAgeMs = 10_000;

export function makeHolderView(): HolderView {
    let known: { readonly instance: string; readonly fence: number; readonly statedAtMs: number } | undefined;
    const current = (nowMs: number): ReportedHolder | undefined => {
        const ageMs = known === undefined ? Infinity : nowMs - known.statedAtMs;
        return known === undefined || ageMs >= holderMaxAgeMs
            ? undefined
            : { instance: known.instance, fence: known.fence, ageMs };
    };
    return {
        note: ({ instance, fence, ageMs }, nowMs) => {
            const before = current(nowMs);
            const isNewer = before === undefined || fence > before.fence
                || (fence === before.fence && ageMs < before.ageMs);
            if (isNewer && ageMs < holderMaxAgeMs) {
                known = { instance, fence, statedAtMs: nowMs - ageMs };
            }
        },
        current,
    };
}
