/** Tracks whether the store answers the calls of a watch, and how old its last answer is. */
import { type GatewayContext } from "../gatewayContext";
import { type StoreOutcome } from "../ports";

export type StoreAvailability = {
    readonly noteOutcome: (outcome: StoreOutcome<unknown>) => void;
    /** Records that bytes of the answer to the call under way have arrived. */
    readonly noteProgress: () => void;
    /** Drops the last answer, which no longer counts after a suspension. */
    readonly forgetAnswer: () => void;
    /** How many calls have failed since the last answer. */
    readonly failures: () => number;
    /** Whether the store answered the last call, and has answered since the last suspension. */
    readonly isAnswered: () => boolean;
    readonly isUnavailable: () => boolean;
    /** Time since the last answer, or since the last bytes of one that is arriving; infinite without an answer. */
    readonly answerAgeMs: () => number;
    /** When the store last became available again after an outage. */
    readonly returnedAtMs: () => number | undefined;
};

export function makeStoreAvailability(
    table: string,
    { timer, log }: Pick<GatewayContext, "timer" | "log">,
): StoreAvailability {
    let returnedAtMs: number | undefined;
    let unavailableSinceMs: number | undefined;
    let failures = 0;
    let answeredAtMs = -Infinity;
    let receivedAtMs = -Infinity;
    return {
        noteOutcome: outcome => {
            const nowMs = timer.nowMs();
            receivedAtMs = -Infinity;
            if (outcome.kind === "done" || outcome.kind === "historyLost") {
                failures = 0;
                answeredAtMs = nowMs;
                if (unavailableSinceMs !== undefined) {
                    log.info("storeRegained", { table, awayMs: Math.round(nowMs - unavailableSinceMs) });
                    returnedAtMs = nowMs;
                    unavailableSinceMs = undefined;
                }
                return;
            }
            failures++;
            if (unavailableSinceMs === undefined) {
                unavailableSinceMs = nowMs;
                log.warn("storeLost", { table, outcome: outcome.kind, reason: reasonOf(outcome) });
            }
        },
        noteProgress: () => {
            receivedAtMs = timer.nowMs();
        },
        forgetAnswer: () => {
            answeredAtMs = -Infinity;
        },
        failures: () => failures,
        isAnswered: () => answeredAtMs > -Infinity && failures === 0,
        isUnavailable: () => unavailableSinceMs !== undefined,
        answerAgeMs: () => answeredAtMs === -Infinity ? Infinity : timer.nowMs() - Math.max(answeredAtMs, receivedAtMs),
        returnedAtMs: () => returnedAtMs,
    };
}

function reasonOf(outcome: StoreOutcome<unknown>): string | undefined {
    return outcome.kind === "refused" || outcome.kind === "unanswered" ? outcome.reason : undefined;
}
