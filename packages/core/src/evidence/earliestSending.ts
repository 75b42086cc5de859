/**
 * Computes the earliest time, on the receiver's clock, at which a received message can have been sent.
 *
 * The message echoes the sequence of a heartbeat from the receiver and states how long the sender held it. The message
 * cannot have been sent before that heartbeat's send time plus the hold time, however long it was delayed in transit.
 */
import { type Echo } from "@rattanquay/schema";

/** Send time of each of the receiver's heartbeats, by sequence number. */
export type HeartbeatSendTimes = ReadonlyMap<number, number>;

export function earliestSendTimeMs(
    echo: Echo | undefined,
    sentAtBySequence: HeartbeatSendTimes,
    nowMs: number,
): number | undefined {
    const sentAtMs = echo === undefined ? undefined : sentAtBySequence.get(echo.sequence);
    return echo === undefined || sentAtMs === undefined || echo.heldMs < 0
        ? undefined
        : Math.min(nowMs, sentAtMs + echo.heldMs);
}
