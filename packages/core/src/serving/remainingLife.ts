/** Decides whether a stopping process accepts a request: only if it can finish it. All times are on the local clock. */

export type RemainingLife = {
    /** Until then the load balancer may still send new connections here. */
    readonly noticeEndsAtMs: number;
    /** Requests that still run then are aborted. */
    readonly endsAtMs: number;
};

export type RequestSpan = {
    /** When the request ends at the latest, with an answer or without one. */
    readonly endByMs: number;
    /** When its answer is expected to be complete. Undefined without a prediction. */
    readonly expectedEndMs: number | undefined;
};

/**
 * During the notice period an expectation is enough, since callers cannot know yet that the process stops. Later, the request must be
 * certain to end in time.
 */
export function mayTakeIn(
    { endByMs, expectedEndMs }: RequestSpan,
    { noticeEndsAtMs, endsAtMs }: RemainingLife,
    nowMs: number,
): boolean {
    if (endByMs <= endsAtMs) {
        return true;
    }
    return nowMs < noticeEndsAtMs && (expectedEndMs === undefined || expectedEndMs <= endsAtMs);
}
