/**
 * The ends of upstreams that this process or a peer has seen, with the prompts that had not been answered.
 *
 * Reports of the same crash are merged: prompts and cleared segments are united, so the order of arrival does not matter.
 */
import { type CrashReport, type Prompt } from "@rattanquay/schema";
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
    /** Crashes seen before `beforeMs` at which a segment is not cleared. */
    readonly accusing: (scope: string, segment: string, beforeMs: number) => readonly string[];
    readonly standing: (scope: string, nowMs: number) => readonly StandingCrash[];
    readonly scopes: () => readonly string[];
    /** Crashes that were seen within the last `withinMs` and not taken back. */
    readonly recent: (nowMs: number, withinMs: number) => readonly string[];
    readonly reports: (nowMs: number) => readonly CrashReport[];
};

type Entry = {
    readonly crash: string;
    readonly scope: string;
    readonly atMs: number;
    readonly prompts: Map<string, Prompt>;
    readonly cleared: Set<string>;
    isRevoked: boolean;
};

const maxAgeMs = 600_000;
const maxCrashes = 64;
const maxForgotten = 2_048;
const maxPrompts = 64;
const maxSegments = 16;
const maxCleared = 256;
/** Older crashes are not sent to peers: whoever was away for longer starts anew. */
const maxSentAgeMs = 120_000;

export function makeCrashEvidence(): CrashEvidence {
    const entries = new Map<string, Entry>();
    /** Peers may still report a crash that has been dropped here, which must not displace another one for it. */
    const forgotten = new Set<string>();
    const forget = (crash: string): void => {
        entries.delete(crash);
        forgotten.add(crash);
        if (forgotten.size > maxForgotten) {
            forgotten.delete(forgotten.values().next().value!);
        }
    };
    const standingPrompts = ({ prompts, cleared, isRevoked }: Entry): readonly Prompt[] => {
        const left = new Map<string, Prompt>();
        for (const { workspace, segments } of isRevoked ? [] : prompts.values()) {
            const standing = { workspace, segments: segments.filter(segment => !cleared.has(segment)) };
            if (standing.segments.length > 0) {
                left.set(keyOf(standing), standing);
            }
        }
        return [...left.values()];
    };
    const add: CrashEvidence["add"] = ({ crash, scope, ageMs, prompts, cleared, isRevoked }, nowMs) => {
        if (forgotten.has(crash)) {
            return false;
        }
        const isNew = !entries.has(crash);
        const entry = entries.get(crash)
            ?? { crash, scope, atMs: nowMs - ageMs, prompts: new Map(), cleared: new Set<string>(), isRevoked: false };
        entries.set(crash, entry);
        if (entries.size > maxCrashes) {
            forget(entries.keys().next().value!);
        }
        const sizeBefore = entry.prompts.size + entry.cleared.size;
        for (const { workspace, segments } of prompts) {
            const prompt = { workspace, segments: segments.slice(0, maxSegments) };
            if (entry.prompts.size < maxPrompts) {
                entry.prompts.set(keyOf(prompt), prompt);
            }
        }
        cleared.slice(0, maxCleared - entry.cleared.size).forEach(segment => entry.cleared.add(segment));
        const isRevokedNow = isRevoked && !entry.isRevoked;
        entry.isRevoked ||= isRevoked;
        return isNew || isRevokedNow || entry.prompts.size + entry.cleared.size > sizeBefore;
    };
    const isAccused = ({ prompts, cleared, isRevoked }: Entry, segment: string): boolean =>
        !isRevoked && !cleared.has(segment) && [...prompts.values()].some(({ segments }) => segments.includes(segment));
    return {
        add,
        clear: (scope, segment, crashes) => {
            let isNew = false;
            for (const crash of crashes) {
                const entry = entries.get(crash);
                if (entry?.scope === scope && !entry.cleared.has(segment) && entry.cleared.size < maxCleared) {
                    entry.cleared.add(segment);
                    isNew = true;
                }
            }
            return isNew;
        },
        revoke: crash => {
            const entry = entries.get(crash);
            if (entry === undefined || entry.isRevoked) {
                return false;
            }
            entry.isRevoked = true;
            return true;
        },
        accusing: (scope, segment, beforeMs) =>
            [...entries.values()].flatMap(entry =>
                entry.scope === scope && entry.atMs < beforeMs && isAccused(entry, segment) ? [entry.crash] : []
            ),
        standing: (scope, nowMs) =>
            [...entries.values()].flatMap(entry => {
                const prompts = entry.scope === scope && nowMs - entry.atMs < maxAgeMs ? standingPrompts(entry) : [];
                return prompts.length === 0 ? [] : [{ crash: entry.crash, atMs: entry.atMs, prompts }];
            }),
        scopes: () => [...new Set([...entries.values()].map(({ scope }) => scope))],
        recent: (nowMs, withinMs) =>
            [...entries.values()].flatMap(({ crash, atMs, isRevoked }) =>
                !isRevoked && nowMs - atMs < withinMs ? [crash] : []
            ),
        reports: nowMs =>
            [...entries.values()].flatMap(entry => {
                const ageMs = Math.max(0, Math.round(nowMs - entry.atMs));
                const { crash, scope, cleared, isRevoked } = entry;
                const prompts = [...standingPrompts(entry)];
                return ageMs < maxSentAgeMs ? [{ crash, scope, ageMs, prompts, cleared: [...cleared], isRevoked }] : [];
            }),
    };
}

function keyOf({ workspace, segments }: Prompt): string {
    return `${workspace} ${segments.join(",")}`;
}
