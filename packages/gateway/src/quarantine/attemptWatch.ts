/** Observes one attempt of a request with a prompt: whether its upstream ended before it had really begun to answer. */
import { type SegmentQuarantine } from "@rattanquay/core";
import { type Prompt } from "@rattanquay/schema";
import { type Timer } from "@rattanquay/timer";
import { type KnownUpstream } from "../upstreams";

/** How an attempt ended, as far as its upstream's health is concerned. */
export type ObservedEnd =
    /** The answer is complete. */
    | "answered"
    /** The upstream broke the connection off. */
    | "brokenOff"
    | "other";

export type AttemptWatch = {
    /** Records that the upstream has written a part of the answer. */
    readonly noteOutput: () => void;
    readonly noteEnd: (end: ObservedEnd) => void;
};

export type WatchedAttempt = {
    readonly scope: string;
    readonly prompt: Prompt;
    readonly upstream: KnownUpstream;
    readonly abort: (reason: string) => void;
};

export type AttemptWatchOptions = {
    readonly state: SegmentQuarantine;
    readonly timer: Timer;
    /** Whether an upstream is expected to go on: it neither drains nor was told to close. */
    readonly isExpectedToServe: (upstream: KnownUpstream) => boolean;
    /** Called if the upstream ended before it had really begun to answer. */
    readonly onCrash: () => void;
};

/** An upstream that has written for this long has survived the beginning of the answer. */
const soundAfterMs = 200;

export function watchAttempt(attempt: WatchedAttempt, options: AttemptWatchOptions): AttemptWatch {
    const { state, timer, isExpectedToServe, onCrash } = options;
    const { scope, prompt, upstream } = attempt;
    let beganAtMs: number | undefined;
    let isSound = false;
    let cancelSound = (): void => undefined;
    const noteSound = (): void => {
        isSound = true;
        state.noteSound(scope, prompt.segments, beganAtMs ?? timer.nowMs(), timer.nowMs());
    };
    const handlers = {
        answered: () => isSound || noteSound(),
        brokenOff: () => {
            if (!isSound && isExpectedToServe(upstream)) {
                onCrash();
            }
        },
        other: () => undefined,
    } as const satisfies Record<ObservedEnd, () => unknown>;
    return {
        noteOutput: () => {
            if (beganAtMs === undefined) {
                beganAtMs = timer.nowMs();
                cancelSound = timer.after(soundAfterMs, noteSound);
            }
        },
        noteEnd: end => {
            cancelSound();
            handlers[end]();
        },
    };
}
