/**
 * Chooses how often each engine instance is probed.
 *
 * Probes cost the prober and the engines the same for busy instances as for idle ones, so they would dominate in a large
 * fleet under load. But a group can only produce output while all of its members work: output that arrived from its
 * head a moment ago proves more than a probe of each member. Such groups are probed seldom; when the output stops, their
 * probes are due at once.
 */
import { type UpstreamRecord } from "@rattanquay/schema";

const defaultProbeMs = 600;
/** Before the first request, a loss that is noticed late delays nobody. */
const idleFleetProbeMs = 2_000;
/** Heads of proven groups are still asked for their load. */
const provenHeadProbeMs = 1_500;
const provenMemberProbeMs = 3_000;
/** Output older than this proves nothing; a busy group produces some several times in this time. */
const proofMaxAgeMs = 700;

export type ProbeEvidence = {
    readonly nowMs: number;
    /** When anything last arrived from an upstream. */
    readonly progressAtMs: (id: string) => number;
    /** Whether any caller's request has arrived at the fleet. */
    readonly hasTraffic: boolean;
};

/** Returns the interval in milliseconds by id. */
export function probeIntervals(
    records: readonly UpstreamRecord[],
    { nowMs, progressAtMs, hasTraffic }: ProbeEvidence,
): ReadonlyMap<string, number> {
    if (!hasTraffic) {
        return new Map(records.map(({ id }) => [id, idleFleetProbeMs]));
    }
    const provenGroups = new Set(
        records.filter(record => isOpenHead(record) && nowMs - progressAtMs(record.id) < proofMaxAgeMs).map(groupKeyOf),
    );
    return new Map(records.map(record => [record.id, intervalOf(record, provenGroups)]));
}

function intervalOf(record: UpstreamRecord, provenGroups: ReadonlySet<string | undefined>): number {
    if (record.membership === undefined || !provenGroups.has(groupKeyOf(record))) {
        return defaultProbeMs;
    }
    return record.membership.rank === 0 ? provenHeadProbeMs : provenMemberProbeMs;
}

function isOpenHead({ membership }: UpstreamRecord): boolean {
    return membership?.state === "open" && membership.rank === 0;
}

function groupKeyOf({ membership }: UpstreamRecord): string | undefined {
    return membership === undefined ? undefined : `${membership.group}/${membership.epoch}`;
}
