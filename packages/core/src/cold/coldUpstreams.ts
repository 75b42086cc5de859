/**
 * Which upstreams a process treats as cold, and until when.
 *
 * An upstream is never taken for warm earlier than it once stated: a shorter time in a later record changes nothing, and
 * neither does a restart.
 */
import { type ColdStart, type UpstreamRecord } from "@rattanquay/schema";

type Located = Pick<UpstreamRecord, "id" | "availabilityZone">;

export type ColdUpstreams = {
    /** Records that an upstream is cold for `coldForMs` from now. */
    readonly noteCold: (id: string, coldForMs: number, nowMs: number) => void;
    /** All upstreams of the zone count as cold for their service's `durationMs` from now, as their records lag. */
    readonly noteEvacuationEnded: (zone: string, nowMs: number) => void;
    readonly isCold: (upstream: Located, cold: ColdStart, nowMs: number) => boolean;
    /** Whether any upstream of such a service can be cold. Cheap, for placements. */
    readonly mayAnyBeCold: (cold: ColdStart, nowMs: number) => boolean;
    /** Forgets upstreams that are warm again. */
    readonly prune: (nowMs: number) => void;
};

export function makeColdUpstreams(): ColdUpstreams {
    const coldUntilMs = new Map<string, number>();
    const evacuationEndedAtMs = new Map<string, number>();
    let lastColdUntilMs = -Infinity;
    let lastEvacuationEndedAtMs = -Infinity;
    return {
        noteCold: (id, coldForMs, nowMs) => {
            const untilMs = Math.max(nowMs + coldForMs, coldUntilMs.get(id) ?? -Infinity);
            coldUntilMs.set(id, untilMs);
            lastColdUntilMs = Math.max(lastColdUntilMs, untilMs);
        },
        noteEvacuationEnded: (zone, nowMs) => {
            evacuationEndedAtMs.set(zone, nowMs);
            lastEvacuationEndedAtMs = nowMs;
        },
        isCold: ({ id, availabilityZone }, { durationMs }, nowMs) =>
            nowMs < (coldUntilMs.get(id) ?? -Infinity)
            || nowMs < (evacuationEndedAtMs.get(availabilityZone) ?? -Infinity) + durationMs,
        mayAnyBeCold: ({ durationMs }, nowMs) =>
            nowMs < lastColdUntilMs || nowMs < lastEvacuationEndedAtMs + durationMs,
        prune: nowMs => {
            for (const [id, untilMs] of coldUntilMs) {
                if (untilMs <= nowMs) {
                    coldUntilMs.delete(id);
                }
            }
        },
    };
}
