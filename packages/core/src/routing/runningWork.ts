/** The running requests of one service by work class, with estimates of holding times and first-token times. */
import { makeWaitEstimator, type WaitEstimator } from "../admission";
import { type AttemptFeedback } from "./replicaPool";

export type WorkClass = "short" | "long";

/** One started request. */
export type RunningRequest = {
    readonly replica: string;
    readonly workClass: WorkClass;
    readonly startedAtMs: number;
    /** How many requests ran on the replica when this one started. */
    readonly running: number;
};

export type RunningWork = {
    readonly start: (id: string, work: RunningRequest) => void;
    /** Moves a running request from the short to the long class. */
    readonly reclassifyAsLong: (id: string) => void;
    readonly end: (id: string, nowMs: number, feedback: AttemptFeedback | undefined) => RunningRequest | undefined;
    readonly counts: () => Readonly<Record<WorkClass, number>>;
    /** Mean holding time (from start to end) of the requests that run now, weighted by their classes. */
    readonly holdingMs: () => number;
    /** Estimated time until `ahead` queued requests of a class and one more have started on `places`. */
    readonly waitMs: (workClass: WorkClass, ahead: number, places: number) => number;
    /** Mean time from a start to the engine's first token. */
    readonly firstTokenMs: () => number;
};

const defaultHoldingMs = 1_000;

export function makeRunningWork(): RunningWork {
    const requests = new Map<string, RunningRequest>();
    const counts: Record<WorkClass, number> = { short: 0, long: 0 };
    const waitEstimators: Readonly<Record<WorkClass, WaitEstimator>> = {
        short: makeWaitEstimator(),
        long: makeWaitEstimator(),
    };
    const firstTokenEstimator = makeWaitEstimator();

    return {
        start: (id, work) => {
            requests.set(id, work);
            counts[work.workClass]++;
        },
        reclassifyAsLong: id => {
            const work = requests.get(id);
            if (work?.workClass === "short") {
                requests.set(id, { ...work, workClass: "long" });
                counts.short--;
                counts.long++;
            }
        },
        end: (id, nowMs, feedback) => {
            const work = requests.get(id);
            if (work === undefined) {
                return undefined;
            }
            requests.delete(id);
            counts[work.workClass]--;
            if (feedback?.kind !== "failed") {
                waitEstimators[work.workClass].observe(nowMs - work.startedAtMs);
            }
            if (feedback?.kind === "answered") {
                firstTokenEstimator.observe(feedback.firstTokenMs);
            }
            return work;
        },
        counts: () => counts,
        holdingMs: () => {
            const short = counts.short * (waitEstimators.short.holdingMs() ?? 0);
            const long = counts.long * (waitEstimators.long.holdingMs() ?? 0);
            return (short + long) / Math.max(1, counts.short + counts.long) || defaultHoldingMs;
        },
        waitMs: (workClass, ahead, places) => waitEstimators[workClass].waitMs(ahead, places),
        firstTokenMs: () => firstTokenEstimator.holdingMs() ?? 0,
    };
}
