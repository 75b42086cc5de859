/** What runs of one service, by class of work, and what its answers have shown of the time that work takes. */
import { type DrainRate, makeDrainRate } from "../admission";
import { type Account } from "./replicaPool";

export type WorkClass = "short" | "long";

/** One started request. */
export type Work = {
    readonly replica: string;
    readonly workClass: WorkClass;
    readonly startedAtMs: number;
    /** How many requests ran on the replica when it started. */
    readonly running: number;
};

export type RunningWork = {
    readonly start: (id: string, work: Work) => void;
    /** Counts short work as long from now on. */
    readonly outgrow: (id: string) => void;
    readonly end: (id: string, nowMs: number, account: Account | undefined) => Work | undefined;
    readonly counts: () => Readonly<Record<WorkClass, number>>;
    /** Mean time for which what runs now will have held its place. */
    readonly holdMs: () => number;
    /** Time until `ahead` requests of a class and then one more have started on `places`. */
    readonly waitMs: (workClass: WorkClass, ahead: number, places: number) => number;
    /** Mean time from a start to the engine's first token. */
    readonly firstTokenMs: () => number;
};

const unknownHoldMs = 1_000;

export function makeRunningWork(): RunningWork {
    const works = new Map<string, Work>();
    const counts: Record<WorkClass, number> = { short: 0, long: 0 };
    const drains: Readonly<Record<WorkClass, DrainRate>> = { short: makeDrainRate(), long: makeDrainRate() };
    const firstToken = makeDrainRate();

    return {
        start: (id, work) => {
            works.set(id, work);
            counts[work.workClass]++;
        },
        outgrow: id => {
            const work = works.get(id);
            if (work?.workClass === "short") {
                works.set(id, { ...work, workClass: "long" });
                counts.short--;
                counts.long++;
            }
        },
        end: (id, nowMs, account) => {
            const work = works.get(id);
            if (work === undefined) {
                return undefined;
            }
            works.delete(id);
            counts[work.workClass]--;
            if (account?.kind !== "failed") {
                drains[work.workClass].learnHold(nowMs - work.startedAtMs);
            }
            if (account?.kind === "answered") {
                firstToken.learnHold(account.firstTokenMs);
            }
            return work;
        },
        counts: () => counts,
        holdMs: () => {
            const short = counts.short * (drains.short.holdMs() ?? 0);
            const long = counts.long * (drains.long.holdMs() ?? 0);
            return (short + long) / Math.max(1, counts.short + counts.long) || unknownHoldMs;
        },
        waitMs: (workClass, ahead, places) => drains[workClass].waitMs(ahead, places),
        firstTokenMs: () => firstToken.holdMs() ?? 0,
    };
}
