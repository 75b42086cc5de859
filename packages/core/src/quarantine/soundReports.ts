/**
 * What is known of sound segments, and the reports about them that peers are still to be sent.
 *
 * Many processes may be able to report the same. Each waits for a random moment, and the first report makes the others
 * needless.
 */
import { type CrashReport, type Prompt, type SoundReport } from "@rattanquay/schema";
import { makeRecentlySound } from "./recentlySound";

export type SoundReports = {
    /** Records that an upstream has written on a segment for a request of this process. */
    readonly noteOwn: (scope: string, segment: string) => void;
    /** Whether upstreams are known to have written on a segment at any time. */
    readonly isKnown: (scope: string, segment: string) => boolean;
    readonly schedule: (report: SoundReport, nowMs: number) => void;
    /** Reports that the segments of some crashes are known to be sound, for a process that knows nothing. */
    readonly knownAmong: (crashes: readonly CrashReport[]) => SoundReport[];
    /** Schedules reports about the segments of a crash that this process has seen to be sound before. */
    readonly scheduleOwn: (crash: CrashReport, nowMs: number) => void;
    /** Adopts a peer's report. Returns whether the segment was not known to be sound. */
    readonly receive: (report: SoundReport) => boolean;
    readonly takeDue: (nowMs: number) => SoundReport[];
    readonly isPending: () => boolean;
};

/** A segment is not reported again within this time, in which even a process that has just started has received it. */
const reportEveryMs = 1_000;
const maxRemembered = 1_024;

type PendingReport = { readonly report: SoundReport; readonly dueMs: number };

/** `delayMs` returns how long a report waits. */
export function makeSoundReports(delayMs: () => number): SoundReports {
    const own = makeRecentlySound();
    const sound = makeRecentlySound();
    const reportedAtMs = new Map<string, number>();
    let pending: PendingReport[] = [];

    const mayReport = (scope: string, segment: string, nowMs: number): boolean => {
        const key = `${scope} ${segment}`;
        if (nowMs - (reportedAtMs.get(key) ?? -Infinity) <= reportEveryMs) {
            return false;
        }
        reportedAtMs.set(key, nowMs);
        if (reportedAtMs.size > maxRemembered) {
            reportedAtMs.delete(reportedAtMs.keys().next().value!);
        }
        return true;
    };
    const schedule: SoundReports["schedule"] = (report, nowMs) => {
        pending.push({ report, dueMs: nowMs + delayMs() });
    };
    return {
        noteOwn: (scope, segment) => {
            own.note(scope, segment);
            sound.note(scope, segment);
        },
        isKnown: sound.has,
        schedule,
        knownAmong: crashes => {
            const segments = crashes.flatMap(({ scope, prompts }) =>
                segmentsOf(prompts).map(segment => ({ scope, segment }))
            );
            const known = segments.filter(({ scope, segment }) => sound.has(scope, segment));
            const unique = new Map(known.map(item => [`${item.scope} ${item.segment}`, item]));
            return [...unique.values()].map(item => ({ ...item, crashes: [] }));
        },
        scheduleOwn: ({ scope, prompts }, nowMs) => {
            for (const segment of segmentsOf(prompts)) {
                if (own.has(scope, segment) && mayReport(scope, segment, nowMs)) {
                    schedule({ scope, segment, crashes: [] }, nowMs);
                }
            }
        },
        receive: received => {
            const isNew = !sound.has(received.scope, received.segment);
            sound.note(received.scope, received.segment);
            pending = pending.filter(({ report }) => !saysAll(received, report));
            return isNew;
        },
        takeDue: nowMs => {
            const due = pending.filter(({ dueMs }) => dueMs <= nowMs);
            pending = pending.filter(({ dueMs }) => dueMs > nowMs);
            return due.map(({ report }) => report);
        },
        isPending: () => pending.length > 0,
    };
}

function saysAll(received: SoundReport, report: SoundReport): boolean {
    return report.scope === received.scope
        && report.segment === received.segment
        && report.crashes.every(crash => received.crashes.includes(crash));
}

function segmentsOf(prompts: readonly Prompt[]): readonly string[] {
    return [...new Set(prompts.flatMap(({ segments }) => segments))];
}
