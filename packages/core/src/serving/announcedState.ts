/**
 * The state that an upstream announces in its own answers: that it is leaving, or that it wants no requests for a while. It
 * takes effect at once, before and regardless of its entry in the store, and is dropped when the upstream restarts.
 */

export type AnnouncedState = {
    readonly noteLeaving: () => void;
    /** Records that the upstream asks for no requests for `durationMs`; at most 30 s are granted. */
    readonly notePause: (durationMs: number, nowMs: number) => void;
    readonly isLeaving: () => boolean;
    /** When the pause ends, on the local clock; `-Infinity` if the upstream has asked for none. */
    readonly pausedUntilMs: () => number;
};

/** Limit on a requested pause: a faulty upstream may ask for any length. */
const maxPauseMs = 30_000;

export function makeAnnouncedState(): AnnouncedState {
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
