/**
 * The retry budget shared by all entry instances, enforced by each instance locally.
 *
 * Within any window all instances together may send `ratio` retries per request, plus `extra` retries. Each instance
 * applies the ratio to its own requests and takes an equal part of `extra`, so the total holds even if the instances
 * cannot communicate.
 */

export type SharedRetryBudget = {
    readonly noteRequest: (nowMs: number) => void;
    /** Whether one more retry is allowed; an allowed retry is deducted from the budget. */
    readonly trySpend: (nowMs: number, instances: number) => boolean;
    readonly spent: (nowMs: number) => number;
};

export type RetryBudgetOptions = { readonly ratio: number; readonly extra: number; readonly windowMs: number };

/** Only this share of the budget is used, because the windows of the instances are not aligned. */
const usableShare = 0.85;
/** Number of buckets per window; a bucket counts until it lies entirely outside the window. */
const bucketsPerWindow = 20;

export function makeSharedRetryBudget({ ratio, extra, windowMs }: RetryBudgetOptions): SharedRetryBudget {
    const requests = makeSlidingWindowCounter(windowMs);
    const repeats = makeSlidingWindowCounter(windowMs + windowMs / bucketsPerWindow);
    return {
        noteRequest: nowMs => requests.add(nowMs),
        trySpend: (nowMs, instances) => {
            const allowed = usableShare * (ratio * requests.count(nowMs) + extra / Math.max(1, instances));
            if (repeats.count(nowMs) + 1 > allowed) {
                return false;
            }
            repeats.add(nowMs);
            return true;
        },
        spent: nowMs => repeats.count(nowMs),
    };
}

type SlidingWindowCounter = { readonly add: (nowMs: number) => void; readonly count: (nowMs: number) => number };

function makeSlidingWindowCounter(windowMs: number): SlidingWindowCounter {
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
