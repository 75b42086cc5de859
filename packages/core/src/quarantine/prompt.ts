/** Whether a quarantine concerns a prompt. */
import { type Prompt } from "@rattanquay/schema";

/** The requests that a quarantine holds back: those whose prompts have all segments, of one workspace or of all. */
export type Hold = { readonly segments: readonly string[]; readonly workspace?: string | undefined };

/** Above this number, one pass over a prompt costs less than a search for each segment. */
const maxSearches = 4;

export function containsAll(segments: readonly string[], wanted: readonly string[]): boolean {
    if (wanted.length <= maxSearches) {
        return wanted.every(segment => segments.includes(segment));
    }
    const found = new Set(segments);
    return wanted.length <= segments.length && wanted.every(segment => found.has(segment));
}

export function holdsBack({ segments, workspace }: Hold, prompt: Prompt): boolean {
    return containsAll(prompt.segments, segments) && (workspace === undefined || workspace === prompt.workspace);
}

/** Whether one quarantine holds back all that another one does. */
export function covers(wide: Hold, narrow: Hold): boolean {
    return containsAll(narrow.segments, wide.segments)
        && (wide.workspace === undefined || wide.workspace === narrow.workspace);
}
