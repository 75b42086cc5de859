/**
 * The load of one replica as one process can know it: its own work at once, that of all others by a report that lags.
 *
 * A report holds the work that this process had running when it was made, so its own count at that instant is kept
 * and taken off.
 */
import { type RecentLoad } from "../admission";
import { type Replica } from "./routingPolicies";

export type ReplicaLoad = {
    readonly update: (replica: Replica, nowMs: number) => void;
    /** Changes the count of own work by one. */
    readonly count: (change: 1 | -1, nowMs: number) => void;
    readonly own: () => number;
    /** Work of other processes as last reported, and how old that is; `undefined` without a report. */
    readonly others: (nowMs: number) => { readonly count: number; readonly ageMs: number } | undefined;
    /** How much work there has been over the last few reports; `undefined` when they are too old to share by. */
    readonly recent: (nowMs: number) => RecentLoad | undefined;
};

type Report = { readonly atMs: number; readonly total: number; readonly own: number };
type Sample = { readonly atMs: number; readonly own: number };

/** Instants of one report as two probes place it differ by no more than this. */
const sameReportMs = 20;
const historyMs = 5_000;
const reportMaxAgeMs = 4_000;
const recentGain = 0.4;

export function makeReplicaLoad(): ReplicaLoad {
    let own = 0;
    let history: readonly Sample[] = [];
    let report: Report | undefined;
    let recent: RecentLoad | undefined;

    const ownAt = (atMs: number): number => history.findLast(sample => sample.atMs <= atMs)?.own ?? 0;

    const takeReport = (next: Report): void => {
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
            if (report === undefined || atMs > report.atMs + sameReportMs) {
                takeReport({ atMs, total: reported.running + reported.waiting, own: ownAt(atMs) });
            }
        },
        count: (change, nowMs) => {
            own += change;
            const kept = history.findLastIndex(sample => sample.atMs < nowMs - historyMs);
            history = [...history.slice(Math.max(0, kept)), { atMs: nowMs, own }];
        },
        own: () => own,
        others: nowMs =>
            report === undefined
                ? undefined
                : { count: Math.max(0, report.total - report.own), ageMs: nowMs - report.atMs },
        recent: nowMs => report === undefined || nowMs - report.atMs > reportMaxAgeMs ? undefined : recent,
    };
}
