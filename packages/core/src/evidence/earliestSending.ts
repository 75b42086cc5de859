/**
 * When a message was sent at the earliest, on the receiver's own clock.
 *
 * The message echoes a heartbeat of the receiver's and says how long the sender had held that. It cannot have been sent
 * before the heartbeat was, plus that time. However late the message comes, its content is taken as no younger.
 */
import { type Echo } from "@rattanquay/schema";

/** When the receiver sent each of its heartbeats, by sequence. */
export type Sendings = ReadonlyMap<number, number>;

export function earliestSendingMs(echo: Echo | undefined, sendings: Sendings, nowMs: number): number | undefined {
    const sentAtMs = echo === undefined ? undefined : sendings.get(echo.sequence);
    return echo === undefined || sentAtMs === undefined || echo.heldMs < 0
        ? undefined
        : Math.min(nowMs, sentAtMs + echo.heldMs);
}
