/**
 * What one life of an upstream has said of itself in its answers. It binds at once, whatever the store or peers say, and
 * ends with that life.
 */

export type OwnWord = {
    readonly noteLeaving: () => void;
    /** Records that it wants no request for so long. */
    readonly notePause: (durationMs: number, nowMs: number) => void;
    readonly isLeaving: () => boolean;
    /** When its pause ends, on the local clock; in the past if it has asked for none. */
    readonly pausedUntilMs: () => number;
};

/** An upstream that asks for more is asked again after this time: it may be wrong for as long as it lives. */
const maxPauseMs = 30_000;

export function makeOwnWord(): OwnWord {
    let isLeaving = false;
    let pausedUntilMs = -Infinity;
    return {
        noteLeaving: () => {
            isLeaving = true;
        },
        notePause: (durationMs, nowMs) => {
            pausedUntilMs = Math.max(pausedUntilMs, nowMs + Math.min(durationMs, maxPauseMs));
        },
        isLeaving: () => isLeaving,
        pausedUntilMs: () => pausedUntilMs,
    };
}
