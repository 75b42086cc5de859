/**
 * Detects attempts that have made no progress for too long and should be retried on another upstream.
 *
 * Covers the failure in which a member of a group dies silently: the group's head keeps accepting requests, but no
 * output is produced. A head that is only busy still sends output to some caller, so an upstream counts as silent only
 * if no known entry instance received anything from it. Moving a request away from a busy head loses its queue position
 * and adds load to the next head.
 */

/** One attempt, and what is known about its upstream. All times are on the local clock. */
export type PendingAttempt = {
    /** For engines the time to the first event is predicted; for plain upstreams only the objective is known. */
    readonly isEngine: boolean;
    readonly objectiveMs: number;
    /** The longest pause between events that still counts as on time. */
    readonly longestPauseMs: number;
    readonly predictedMs: number;
    readonly sentAtMs: number;
    /** Whether the response has started. */
    readonly hasHead: boolean;
    /** Whether the caller gets the answer as it arrives; otherwise it gets nothing before the answer is complete. */
    readonly isPassedOn: boolean;
    /** When the last part of its body arrived; before the first one, when the attempt was sent. */
    readonly lastBytesAtMs: number;
    /** When any known entry instance last received anything from this upstream. */
    readonly upstreamProgressAtMs: number;
};

export type StallState =
    | "moves"
    /** No known instance has received anything from the upstream for a while: other upstreams are preferred. */
    | "doubtful"
    /** The request should be retried on another upstream. */
    | "stalled";

/** A forward pass that includes a lot of prefill takes up to about half of this. */
const silenceLimitMs = 450;
/** Progress seen by peers becomes known here two of their gossip rounds later. */
const peerReportDelayMs = 500;
/** Limit for a stream whose upstream makes progress for other requests; well below the time that the caller waits. */
const busySilenceLimitMs = 1_200;
/** Progress this much later than a stream's last event is attributed to another stream. */
const otherStreamProgressMs = 100;
/** A first event is overdue after the prediction times this factor, plus the slack below. */
const predictionFactor = 2;
const predictionSlackMs = 150;
/**
 * A plain response may take this many times its latency objective: to the end, as nothing of it helps the caller before.
 * One that is passed on may take it to the first part, and between two parts.
 */
const plainTimeoutFactor = 1.5;

export function detectStall(send: PendingAttempt, nowMs: number): StallState {
    if (!send.isEngine) {
        const timeoutMs = send.objectiveMs * plainTimeoutFactor;
        if (send.isPassedOn) {
            return checkStream({ ...send, longestPauseMs: Math.max(send.longestPauseMs, timeoutMs) }, nowMs);
        }
        return nowMs - send.sentAtMs > timeoutMs ? "stalled" : "moves";
    }
    return send.hasHead ? checkStream(send, nowMs) : checkFirstEvent(send, nowMs);
}

function checkStream(
    { lastBytesAtMs, upstreamProgressAtMs, longestPauseMs }: PendingAttempt,
    nowMs: number,
): StallState {
    const isBusy = upstreamProgressAtMs > lastBytesAtMs + otherStreamProgressMs;
    const limitMs = Math.max(isBusy ? busySilenceLimitMs : silenceLimitMs, longestPauseMs);
    return nowMs - lastBytesAtMs > limitMs ? "stalled" : "moves";
}

function checkFirstEvent({ predictedMs, sentAtMs, upstreamProgressAtMs }: PendingAttempt, nowMs: number): StallState {
    const dueMs = predictedMs * predictionFactor + predictionSlackMs;
    const silentForMs = nowMs - Math.max(sentAtMs, upstreamProgressAtMs);
    if (nowMs - sentAtMs <= dueMs || silentForMs <= silenceLimitMs) {
        return "moves";
    }
    return silentForMs > silenceLimitMs + peerReportDelayMs ? "stalled" : "doubtful";
}
