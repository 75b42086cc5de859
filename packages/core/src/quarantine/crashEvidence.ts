/**
 * The ends of upstreams that this process or a peer has seen, with the prompts that had not been answered.
 *
 * Reports of the same crash are merged: prompts and cleared segments are united, so the order of arrival does not matter.
 *
 * A segment may stand anywhere in a prompt of any length, so what is bounded is the number of segments in all. Segments on which
 * an upstream has written since take no room; where room is short, segments that were sound before are left out first.
 */
import { type CrashReport, type Prompt } from "@rattanquay/schema";
import { type CrashEntry, makeCrashEntry } from "./crashEntry";
import { type StandingCrash } from "./findCulprits";

/** What one process saw of a crash. */
export type OwnCrash = {
    /** Identifies the incarnation of the upstream that ended. */
    readonly crash: string;
    readonly scope: string;
    readonly prompts: readonly Prompt[];
};

export type CrashEvidence = {
    /** Adds a report. Returns whether it says anything new. */
    readonly add: (report: CrashReport, nowMs: number) => boolean;
    /** Clears a segment of the crashes named. Returns whether that is new. */
    readonly clear: (scope: string, segment: string, crashes: readonly string[]) => boolean;
    /** Removes a crash from the evidence: the upstream has not ended. Returns whether that is new. */
    readonly revoke: (crash: string) => boolean;
    /** Returns a function that finds the crashes seen before `beforeMs` at which a segment is not cleared. */
    readonly accusing: (scope: string, beforeMs: number) => (segment: string) => readonly string[];
    readonly standing: (scope: string, nowMs: number) => readonly StandingCrash[];
    readonly scopes: () => readonly string[];
    /** Crashes that were seen within the last `withinMs` and not taken back. */
    readonly recent: (nowMs: number, withinMs: number) => readonly string[];
    /** Reports of the crashes named, or of the newest ones as far as a message may hold them, the oldest first. */
    readonly reports: (nowMs: number, crashes?: ReadonlySet<string>) => readonly CrashReport[];
};

const maxAgeMs = 600_000;
const maxCrashes = 64;
const maxForgotten = 2_048;
/** Segments of all crashes together; several times those of one crash. */
const maxSegments = 32_768;
/** Segments in reports about crashes that have not changed, for a process that knows nothing. */
const maxSentSegments = 8_192;
/** Older crashes are not sent to peers: whoever was away for longer starts anew. */
const maxSentAgeMs = 120_000;

/** `isKnownSound` tells whether upstreams have written on a segment of a scope at any time. */
export function makeCrashEvidence(
    isKnownSound: (scope: string, segment: string) => boolean = () => false,
): CrashEvidence {
    const entries = new Map<string, CrashEntry>();
    /** Peers may still report a crash that has been dropped here, which must not displace another one for it. */
    const forgotten = new Set<string>();
    const forgetOldest = (): void => {
        const oldest = entries.keys().next().value!;
        entries.delete(oldest);
        forgotten.add(oldest);
        if (forgotten.size > maxForgotten) {
            forgotten.delete(forgotten.values().next().value!);
        }
    };
    const countSegments = (): number => [...entries.values()].reduce((sum, entry) => sum + entry.size(), 0);
    const add: CrashEvidence["add"] = (report, nowMs) => {
        const { crash, scope, ageMs } = report;
        if (forgotten.has(crash)) {
            return false;
        }
        const known = entries.get(crash);
        const entry = known ?? makeCrashEntry(crash, scope, nowMs - ageMs, segment => isKnownSound(scope, segment));
        entries.set(crash, entry);
        const isNews = entry.merge(report);
        while (entries.size > maxCrashes || (entries.size > 1 && countSegments() > maxSegments)) {
            forgetOldest();
        }
        return isNews || known === undefined;
    };
    const isSent = (nowMs: number, crashes: ReadonlySet<string> | undefined): ReadonlySet<CrashEntry> => {
        const young = [...entries.values()].filter(({ atMs }) => nowMs - atMs < maxSentAgeMs);
        if (crashes !== undefined) {
            return new Set(young.filter(({ crash }) => crashes.has(crash)));
        }
        let room = maxSentSegments;
        return new Set(
            young.reverse().filter((entry, index) => {
                room -= entry.size();
                return index === 0 || room >= 0;
            }),
        );
    };
    return {
        add,
        clear: (scope, segment, crashes) => {
            const found = crashes.flatMap(crash => entries.get(crash) ?? []).filter(entry => entry.scope === scope);
            return found.filter(entry => entry.clear(segment)).length > 0;
        },
        revoke: crash => entries.get(crash)?.revoke() ?? false,
        accusing: (scope, beforeMs) => {
            const before = [...entries.values()].filter(entry =>
                entry.scope === scope && entry.atMs < beforeMs && entry.size() > 0
            );
            return segment => before.filter(entry => entry.accuses(segment)).map(({ crash }) => crash);
        },
        standing: (scope, nowMs) =>
            [...entries.values()].flatMap(entry => {
                const prompts = entry.scope === scope && nowMs - entry.atMs < maxAgeMs ? entry.prompts() : [];
                return prompts.length === 0 ? [] : [{ crash: entry.crash, atMs: entry.atMs, prompts }];
            }),
        scopes: () => [...new Set([...entries.values()].map(({ scope }) => scope))],
        recent: (nowMs, withinMs) =>
            [...entries.values()].flatMap(entry =>
                !entry.isRevoked() && nowMs - entry.atMs < withinMs ? [entry.crash] : []
            ),
        reports: (nowMs, crashes) => {
            const sent = isSent(nowMs, crashes);
            return [...entries.values()].filter(entry => sent.has(entry)).map(entry => entry.report(nowMs));
        },
    };
}
