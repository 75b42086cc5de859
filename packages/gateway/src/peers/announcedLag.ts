/** Tracks for how long something has been missing here that relays have announced. */
import { type StateNotice } from "@rattanquay/schema";

export type AnnouncedLag = {
    readonly note: (notice: StateNotice, nowMs: number) => void;
    /** The newest announcement of something that was missing. */
    readonly newest: () => StateNotice | undefined;
    /** Whether something announced has been missing for longer than `lagMs`. */
    readonly isLagging: (nowMs: number, lagMs: number) => boolean;
};

/** `isBehind` tells whether this process still lacks what a notice announces. */
export function makeAnnouncedLag(isBehind: (notice: StateNotice) => boolean): AnnouncedLag {
    let missing: { readonly notice: StateNotice; readonly sinceMs: number } | undefined;
    return {
        note: (notice, nowMs) => {
            const wasMissing = missing !== undefined && isBehind(missing.notice);
            missing = { notice, sinceMs: wasMissing ? missing!.sinceMs : nowMs };
        },
        newest: () => missing?.notice,
        isLagging: (nowMs, lagMs) =>
            missing !== undefined && isBehind(missing.notice) && nowMs - missing.sinceMs > lagMs,
    };
}
