/** One end of an upstream, with the segments of the prompts that had not been answered and on which none was answered since. */
import { type CrashReport, type Prompt } from "@rattanquay/schema";

export type CrashEntry = {
    readonly crash: string;
    readonly scope: string;
    readonly atMs: number;
    /** Adds what a report of the same crash says. Returns whether anything of it is new. */
    readonly merge: (report: Pick<CrashReport, "prompts" | "cleared" | "isRevoked">) => boolean;
    /** Returns whether the segment was not cleared before. */
    readonly clear: (segment: string) => boolean;
    /** Returns whether the crash was not taken back before. */
    readonly revoke: () => boolean;
    readonly isRevoked: () => boolean;
    readonly accuses: (segment: string) => boolean;
    /** The prompts without cleared segments; none if the crash was taken back. */
    readonly prompts: () => readonly Prompt[];
    /** The number of segments that are kept. */
    readonly size: () => number;
    readonly report: (nowMs: number) => CrashReport;
};

/** Segments of the prompts of one crash together; each stands for its place in one prompt. */
const maxSegments = 8_192;
const maxCleared = 8_192;

/** `isKnownSound` tells whether upstreams have written on a segment at any time. */
export function makeCrashEntry(
    crash: string,
    scope: string,
    atMs: number,
    isKnownSound: (segment: string) => boolean,
): CrashEntry {
    /** By their segments; may hold segments that were cleared since, until `removeCleared`. */
    let prompts = new Map<string, Prompt>();
    let mustRemoveCleared = false;
    /** In how many prompts each segment stands that is not cleared. */
    const places = new Map<string, number>();
    const cleared = new Set<string>();
    let size = 0;
    let isRevoked = false;

    const isStanding = (segment: string): boolean => !cleared.has(segment);
    /** Done once for many cleared segments: an answer clears all segments of a prompt at once. */
    const removeCleared = (): void => {
        const left = [...prompts.values()].map(({ workspace, segments }) => ({
            workspace,
            segments: segments.filter(isStanding),
        }));
        prompts = new Map();
        places.clear();
        size = 0;
        mustRemoveCleared = false;
        left.forEach(set);
    };
    const set = (prompt: Prompt): boolean => {
        const key = keyOf(prompt);
        if (prompt.segments.length === 0 || prompts.has(key)) {
            return false;
        }
        prompts.set(key, prompt);
        size += prompt.segments.length;
        prompt.segments.forEach(segment => places.set(segment, (places.get(segment) ?? 0) + 1));
        return true;
    };
    const addPrompt = ({ workspace, segments }: Prompt): boolean => {
        const standing = [...new Set(segments)].filter(isStanding);
        return set({ workspace, segments: fit(standing, maxSegments - size, atMs, isKnownSound) });
    };
    const merge: CrashEntry["merge"] = report => {
        const isClearing = report.cleared.map(clear).includes(true);
        if (mustRemoveCleared) {
            removeCleared();
        }
        const isAdding = report.prompts.map(addPrompt).includes(true);
        const isRevoking = report.isRevoked && revoke();
        return isClearing || isAdding || isRevoking;
    };
    const clear = (segment: string): boolean => {
        if (cleared.has(segment) || cleared.size >= maxCleared) {
            return false;
        }
        cleared.add(segment);
        size -= places.get(segment) ?? 0;
        mustRemoveCleared ||= places.delete(segment);
        return true;
    };
    const revoke = (): boolean => {
        const isNew = !isRevoked;
        isRevoked = true;
        return isNew;
    };
    const standing = (): readonly Prompt[] => {
        if (mustRemoveCleared) {
            removeCleared();
        }
        return isRevoked ? [] : [...prompts.values()];
    };
    return {
        crash,
        scope,
        atMs,
        merge,
        clear,
        revoke,
        isRevoked: () => isRevoked,
        accuses: segment => !isRevoked && places.has(segment),
        prompts: standing,
        size: () => size,
        report: nowMs => ({
            crash,
            scope,
            ageMs: Math.max(0, Math.round(nowMs - atMs)),
            prompts: standing().map(({ workspace, segments }) => ({ workspace, segments: [...segments] })),
            cleared: [...cleared],
            isRevoked,
        }),
    };
}

/**
 * Returns the segments of a prompt for which there is room, in their order: those never known to be sound before others. Of
 * more of these than there is room, those from another place on are kept at each crash, so that none is left out at all.
 */
function fit(
    segments: readonly string[],
    room: number,
    atMs: number,
    isKnownSound: (segment: string) => boolean,
): string[] {
    if (segments.length <= room) {
        return [...segments];
    }
    const known: string[] = [];
    const fresh: string[] = [];
    segments.forEach(segment => (isKnownSound(segment) ? known : fresh).push(segment));
    const start = fresh.length === 0 ? 0 : Math.floor(atMs) % fresh.length;
    const ranked = [...fresh.slice(start), ...fresh.slice(0, start), ...known];
    const kept = new Set(ranked.slice(0, Math.max(0, room)));
    return segments.filter(segment => kept.has(segment));
}

function keyOf({ workspace, segments }: Prompt): string {
    return `${workspace} ${segments.join(",")}`;
}
