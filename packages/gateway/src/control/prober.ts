/**
 * Asks engine instances how they are, and judges which do not answer.
 *
 * Answers the load in which instances die without a sign: their entries lapse only after several heartbeats. If most
 * instances are silent at once it is this process that is cut off, and nobody is judged.
 */
import { type EngineReport, type UpstreamRecord } from "@rattanquay/schema";
import { type Log } from "@rattanquay/telemetry";
import { type Timer } from "@rattanquay/timer";
import { type EngineControl } from "../ports";

export type Prober = {
    /** Asks the instances that are due, without waiting for their answers. */
    readonly probe: (records: readonly UpstreamRecord[]) => void;
    readonly unreachable: () => ReadonlySet<string>;
    readonly reportOf: (id: string) => EngineReport | undefined;
    readonly forget: () => void;
};

/** An instance that does not answer within this time, many times the way to it, counts as silent. */
const probeTimeoutMs = 300;
const probeEveryMs = 600;
/** An instance that was silent is asked again this soon. */
const askAgainMs = 40;
/** Silences in a row that make an instance unreachable: a lost packet alone can cause one. */
const silencesToDoubt = 3;
/** A probe that ended this late shows that this process stood still, and says nothing about the instance. */
const ownDelayMs = 120;
/** If more than this part of the instances is silent, the fault is on this side. */
const ownFaultShare = 0.5;

type Probed = { askedAtMs: number; silences: number; isAsking: boolean; report: EngineReport | undefined };

export function makeProber(engines: EngineControl, timer: Timer, log: Log): Prober {
    const probed = new Map<string, Probed>();
    const ask = async (record: UpstreamRecord, entry: Probed): Promise<void> => {
        entry.askedAtMs = timer.nowMs();
        entry.isAsking = true;
        const report = await engines.report(record, probeTimeoutMs);
        entry.isAsking = false;
        if (report === undefined && timer.nowMs() - entry.askedAtMs > probeTimeoutMs + ownDelayMs) {
            return;
        }
        entry.report = report ?? entry.report;
        const before = entry.silences;
        entry.silences = report === undefined ? before + 1 : 0;
        if (before < silencesToDoubt && entry.silences >= silencesToDoubt) {
            log.warn("engineSilent", { upstream: record.id, silences: entry.silences });
        }
        if (before >= silencesToDoubt && entry.silences === 0) {
            log.info("engineAnswers", { upstream: record.id });
        }
    };
    return {
        probe: records => {
            const listed = new Set(records.map(({ id }) => id));
            [...probed.keys()].filter(id => !listed.has(id)).forEach(id => probed.delete(id));
            for (const record of records) {
                const entry = probed.get(record.id)
                    ?? { askedAtMs: -Infinity, silences: 0, isAsking: false, report: undefined };
                probed.set(record.id, entry);
                const everyMs = isDoubtful(entry) ? askAgainMs : probeEveryMs;
                if (!entry.isAsking && timer.nowMs() - entry.askedAtMs >= everyMs) {
                    void ask(record, entry);
                }
            }
        },
        unreachable: () => {
            const silent = [...probed].filter(([, { silences }]) => silences >= silencesToDoubt).map(([id]) => id);
            return new Set(silent.length > probed.size * ownFaultShare ? [] : silent);
        },
        reportOf: id => probed.get(id)?.report,
        forget: () => probed.clear(),
    };
}

/** Silent lately, and not judged yet. */
function isDoubtful({ silences }: Probed): boolean {
    return silences > 0 && silences < silencesToDoubt;
}
