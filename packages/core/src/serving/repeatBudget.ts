/**
 * The budget of repeats that all entry instances share, kept by each for itself.
 *
 * All together may send `ratio` repeats for each request and `extra` besides within any window. Each instance keeps to
 * the ratio of its own requests and to an equal part of the extra, so that the sum holds when nobody hears anybody.
 */

export type RepeatBudget = {
    readonly noteRequest: (nowMs: number) => void;
    /** Whether one more repeat is granted; a granted repeat is spent. */
    readonly spend: (nowMs: number, instances: number) => boolean;
    readonly spent: (nowMs: number) => number;
};

export type RepeatBounds = { readonly ratio: number; readonly extra: number; readonly windowMs: number };

/** Part of the budget that is used, since the windows of the instances do not line up. */
const usedShare = 0.85;
/** Buckets of one window; a bucket counts until all of it has left the window. */
const bucketsPerWindow = 20;

export function makeRepeatBudget({ ratio, extra, windowMs }: RepeatBounds): RepeatBudget {
    const requests = makeWindowCount(windowMs);
    const repeats = makeWindowCount(windowMs + windowMs / bucketsPerWindow);
    return {
        noteRequest: nowMs => requests.add(nowMs),
        spend: (nowMs, instances) => {
            const allowed = usedShare * (ratio * requests.count(nowMs) + extra / Math.max(1, instances));
            if (repeats.count(nowMs) + 1 > allowed) {
                return false;
            }
            repeats.add(nowMs);
            return true;
        },
        spent: nowMs => repeats.count(nowMs),
    };
}

type WindowCount = { readonly add: (nowMs: number) => void; readonly count: (nowMs: number) => number };

function makeWindowCount(windowMs: number): WindowCount {
    const bucketMs = windowMs / bucketsPerWindow;
    let buckets: { readonly bucket: number; count: number }[] = [];
    const bucketOf = (nowMs: number): number => Math.floor(nowMs / bucketMs);
    return {
        add: nowMs => {
            const bucket = bucketOf(nowMs);
            const last = buckets.at(-1);
            if (last?.bucket === bucket) {
                last.count++;
                return;
            }
            buckets.push({ bucket, count: 1 });
        },
        count: nowMs => {
            const oldest = bucketOf(nowMs - windowMs);
            if (buckets.length > 0 && buckets[0]!.bucket < oldest) {
                buckets = buckets.filter(({ bucket }) => bucket >= oldest);
            }
            return buckets.reduce((sum, { count }) => sum + count, 0);
        },
    };
}
