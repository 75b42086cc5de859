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
const maxRemembered = 8_192;
/** Reports in one message. The others wait for the next one. */
const maxReports = 4_096;

type PendingReport = { readonly report: SoundReport; readonly dueMs: number };

/** `delayMs` returns how long a report waits. */
export function makeSoundReports(delayMs: () => number): SoundReports {
    const own = makeRecentlySound();
    const sound = makeRecentlySound();
    const reportedAtMs = new Map<string, number>();
    /** By scope and segment. */
    const pending = new Map<string, readonly PendingReport[]>();

    const mayReport = (scope: string, segment: string, nowMs: number): boolean => {
        const key = keyOf({ scope, segment });
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
        const key = keyOf(report);
        pending.set(key, [...pending.get(key) ?? [], { report, dueMs: nowMs + delayMs() }]);
    };
    const keep = (key: string, isKept: (waiting: PendingReport) => boolean): void => {
        const kept = (pending.get(key) ?? []).filter(isKept);
        if (kept.length === 0) {
            pending.delete(key);
        }
        else {
            pending.set(key, kept);
        }
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
            const unique = new Map(known.map(item => [keyOf(item), item]));
            return [...unique.values()].slice(0, maxReports).map(item => ({ ...item, crashes: [] }));
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
            keep(keyOf(received), ({ report }) => !saysAll(received, report));
            return isNew;
        },
        takeDue: nowMs => {
            const due = [...pending.values()].flat().filter(({ dueMs }) => dueMs <= nowMs).slice(0, maxReports);
            const taken = new Set(due);
            due.forEach(({ report }) => keep(keyOf(report), waiting => !taken.has(waiting)));
            return due.map(({ report }) => report);
        },
        isPending: () => pending.size > 0,
    };
}

function keyOf({ scope, segment }: Pick<SoundReport, "scope" | "segment">): string {
    return `${scope} ${segment}`;
}

/** Whether a report of the same segment says all that another one does. */
function saysAll(received: SoundReport, report: SoundReport): boolean {
    return report.crashes.every(crash => received.crashes.includes(crash));
}

function segmentsOf(prompts: readonly Prompt[]): readonly string[] {
    return [...new Set(prompts.flatMap(({ segments }) => segments))];
}
