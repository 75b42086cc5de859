/**
 * Avoids an upstream that answers with errors or with what can't be read.
 *
 * Such an upstream answers at once, so that it looks idle and would be preferred for that. It is blocked once most of its
 * recent answers were faulty, and then gets single requests at growing intervals until enough of them are answered.
 */
export type AnswerFaults = {
    /** Records that a request was sent to the upstream. */
    readonly noteSent: (nowMs: number) => void;
    readonly noteAnswer: (isFaulty: boolean, nowMs: number) => void;
    /** Whether the upstream is to be avoided now. */
    readonly isBlocked: (nowMs: number) => boolean;
};

/** How far one answer moves the share of faulty ones, and the share from which on the upstream is blocked. */
const answerWeight = 0.3;
const blockingShare = 0.6;
const firstIntervalMs = 500;
const maxIntervalMs = 8_000;
const intervalGrowth = 2;

export function makeAnswerFaults(): AnswerFaults {
    let faultyShare = 0;
    let intervalMs = firstIntervalMs;
    let nextRequestAtMs = -Infinity;
    return {
        noteSent: nowMs => {
            if (faultyShare > blockingShare) {
                nextRequestAtMs = nowMs + intervalMs;
                intervalMs = Math.min(maxIntervalMs, intervalMs * intervalGrowth);
            }
        },
        noteAnswer: (isFaulty, nowMs) => {
            const wasBlocked = faultyShare > blockingShare;
            faultyShare += answerWeight * ((isFaulty ? 1 : 0) - faultyShare);
            if (!isFaulty) {
                intervalMs = firstIntervalMs;
                nextRequestAtMs = -Infinity;
            }
            else if (!wasBlocked && faultyShare > blockingShare) {
                nextRequestAtMs = nowMs + intervalMs;
            }
        },
        isBlocked: nowMs => faultyShare > blockingShare && nowMs < nextRequestAtMs,
    };
}
