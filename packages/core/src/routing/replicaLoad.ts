/**
 * The load of one replica as seen by one process: its own requests, and those of other processes from delayed reports.
 *
 * A report includes the requests that this process had running at that instant, so a history of its own count is kept
 * and the count at that instant is subtracted.
 */
import { type RecentLoad } from "../admission";
import { type Replica } from "./routingPolicies";

export type ReplicaLoad = {
    /** Takes in the replica's load report, unless it was taken in before. */
    readonly update: (replica: Replica, nowMs: number) => void;
    /** Changes the number of own running requests by one. */
    readonly count: (change: 1 | -1, nowMs: number) => void;
    /** The number of own running requests. */
    readonly own: () => number;
    /** Requests of other processes as last reported, and the report's age; `undefined` without a report. */
    readonly others: (nowMs: number) => { readonly count: number; readonly ageMs: number } | undefined;
    /** Moving average over the last few reports; `undefined` when the last one is too old to divide places by. */
    readonly recent: (nowMs: number) => RecentLoad | undefined;
};

type Report = { readonly atMs: number; readonly total: number; readonly own: number };
type OwnSample = { readonly atMs: number; readonly own: number };

/** Two probes that see the same report compute its time with a difference of at most this. */
const sameReportToleranceMs = 20;
const historyMs = 5_000;
const reportMaxAgeMs = 4_000;
const recentGain = 0.4;

export function makeReplicaLoad(): ReplicaLoad {
    let own = 0;
    let history: readonly OwnSample[] = [];
    let report: Report | undefined;
    let recent: RecentLoad | undefined;

    const ownAt = (atMs: number): number => history.findLast(sample => sample.atMs <= atMs)?.own ?? 0;

    const applyReport = (next: Report): void => {
        report = next;
        recent = recent === undefined
            ? next
            : {
                total: recent.total + recentGain * (next.total - recent.total),
                own: recent.own + recentGain * (next.own - recent.own),
            };
    };

    return {
        update: ({ reported }, nowMs) => {
            if (reported === undefined) {
                return;
            }
            const atMs = nowMs - reported.ageMs;
            if (report === undefined || atMs > report.atMs + sameReportToleranceMs) {
                applyReport({ atMs, total: reported.running + reported.waiting, own: ownAt(atMs) });
            }
        },
        count: (change, nowMs) => {
            own += change;
            const firstKept = history.findLastIndex(sample => sample.atMs < nowMs - historyMs);
            history = [...history.slice(Math.max(0, firstKept)), { atMs: nowMs, own }];
        },
        own: () => own,
        others: nowMs =>
            report === undefined
                ? undefined
                : { count: Math.max(0, report.total - report.own), ageMs: nowMs - report.atMs },
        recent: nowMs => report === undefined || nowMs - report.atMs > reportMaxAgeMs ? undefined : recent,
    };
}
