/**
 * Probes engine instances and determines which are unreachable.
 *
 * Detects instances that fail without notice, whose entries in the store expire only after several missed heartbeats.
 * If more than half of the instances are silent, this process is assumed to be cut off and none is reported
 * unreachable.
 */
import { type EngineReport, type UpstreamRecord } from "@rattanquay/schema";
import { type Log } from "@rattanquay/telemetry";
import { type Timer } from "@rattanquay/timer";
import { type EngineControl } from "../ports";

export type Prober = {
    /** Probes the instances that are due by their intervals, without waiting for their answers. */
    readonly probe: (records: readonly UpstreamRecord[], intervalsMs: ReadonlyMap<string, number>) => void;
    readonly unreachable: () => ReadonlySet<string>;
    /** Whether so many instances are silent that this process is assumed to be cut off. */
    readonly isCutOff: () => boolean;
    readonly reportOf: (id: string) => EngineReport | undefined;
    readonly reset: () => void;
};

/** An instance that does not answer within this time, many round trips, counts as silent. */
const probeTimeoutMs = 300;
/** Delay before a silent instance is probed again. */
const retryProbeMs = 40;
/** Interval for an unreachable instance, whatever its group's output shows: it may be unreachable from here only. */
const silentProbeMs = 600;
/** Consecutive unanswered probes that make an instance unreachable: a single one may be due to a lost packet. */
const unreachableAfter = 3;
/** A probe that ends this long after its timeout shows that this process was paused, so its result is ignored. */
const pauseToleranceMs = 120;
/** If a larger share of the instances is silent, the fault is assumed to be on this side. */
const maxSilentShare = 0.5;

type ProbeState = { probedAtMs: number; silences: number; isProbing: boolean; report: EngineReport | undefined };

export function makeProber(engines: EngineControl, timer: Timer, log: Log): Prober {
    const probeStates = new Map<string, ProbeState>();
    const requestReport = async (record: UpstreamRecord): Promise<EngineReport | undefined> => {
        try {
            return await engines.report(record, probeTimeoutMs);
        }
        catch (error) {
            log.error("probeFailed", { upstream: record.id, error: (error as Error).stack ?? String(error) });
            return undefined;
        }
    };
    const probeOne = async (record: UpstreamRecord, entry: ProbeState): Promise<void> => {
        entry.probedAtMs = timer.nowMs();
        entry.isProbing = true;
        const report = await requestReport(record);
        entry.isProbing = false;
        if (report === undefined && timer.nowMs() - entry.probedAtMs > probeTimeoutMs + pauseToleranceMs) {
            return;
        }
        entry.report = report ?? entry.report;
        const before = entry.silences;
        entry.silences = report === undefined ? before + 1 : 0;
        if (before < unreachableAfter && entry.silences >= unreachableAfter) {
            log.warn("engineSilent", { upstream: record.id, silences: entry.silences });
        }
        if (before >= unreachableAfter && entry.silences === 0) {
            log.info("engineAnswers", { upstream: record.id });
        }
    };
    const silentIds = (): readonly string[] =>
        [...probeStates].filter(([, { silences }]) => silences >= unreachableAfter).map(([id]) => id);
    const isCutOff = (): boolean => silentIds().length > probeStates.size * maxSilentShare;
    return {
        probe: (records, intervalsMs) => {
            const listed = new Set(records.map(({ id }) => id));
            [...probeStates.keys()].filter(id => !listed.has(id)).forEach(id => probeStates.delete(id));
            for (const record of records) {
                const entry = probeStates.get(record.id)
                    ?? { probedAtMs: -Infinity, silences: 0, isProbing: false, report: undefined };
                probeStates.set(record.id, entry);
                const everyMs = intervalOf(entry, intervalsMs.get(record.id) ?? silentProbeMs);
                if (!entry.isProbing && timer.nowMs() - entry.probedAtMs >= everyMs) {
                    void probeOne(record, entry);
                }
            }
        },
        unreachable: () => new Set(isCutOff() ? [] : silentIds()),
        isCutOff,
        reportOf: id => probeStates.get(id)?.report,
        reset: () => probeStates.clear(),
    };
}

function intervalOf({ silences }: ProbeState, answeringMs: number): number {
    if (silences === 0) {
        return answeringMs;
    }
    return silences < unreachableAfter ? retryProbeMs : silentProbeMs;
}
