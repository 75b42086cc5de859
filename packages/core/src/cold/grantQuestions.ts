/** When a process may ask the holder of the planning lease for a grant, and what a question costs in time. */
import { answerTimeoutMs, unansweredPauseMs } from "./coldTiming";

export type GrantQuestions = {
    readonly mayAsk: (holder: string, nowMs: number) => boolean;
    readonly noteAnswered: (roundTripMs: number) => void;
    /** Records that a process did not answer, or answered that it is not the holder. */
    readonly noteUnanswered: (holder: string, nowMs: number) => void;
    /** The expected round trip of a question. */
    readonly roundTripMs: () => number;
};

/** Expected before the first answer: about a round trip between two zones. */
const initialRoundTripMs = 10;
/** Weight of the newest answer in the moving average. */
const newestWeight = 0.2;

export function makeGrantQuestions(): GrantQuestions {
    let silent: { readonly holder: string; readonly untilMs: number } | undefined;
    let roundTripMs = initialRoundTripMs;
    return {
        mayAsk: (holder, nowMs) => silent?.holder !== holder || nowMs >= silent.untilMs,
        noteAnswered: newestMs => {
            roundTripMs += newestWeight * (Math.min(newestMs, answerTimeoutMs) - roundTripMs);
        },
        noteUnanswered: (holder, nowMs) => {
            silent = { holder, untilMs: nowMs + unansweredPauseMs };
        },
        roundTripMs: () => roundTripMs,
    };
}
