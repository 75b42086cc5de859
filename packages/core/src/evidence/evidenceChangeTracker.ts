/** Tracks the evidence that one peer has been sent over one link, so that only changes are sent. */
import { type EvidenceUpdate, type ServerInfo } from "@rattanquay/schema";
import { type Evidence } from "./evaluateGroup";

/** Evidence from this process's own probe. `identity` is the report without its load, for quick comparison. */
export type ProbeEvidence = Evidence & { readonly identity: string };

export type EvidenceChangeTracker = {
    /** The changes since the last call; `undefined` while there is no evidence to send and none to withdraw. */
    readonly next: (findings: ReadonlyMap<string, ProbeEvidence>, nowMs: number) => EvidenceUpdate | undefined;
};

type SentEntry = { readonly slot: number; identity: string; load: ServerInfo["load"] };

/** Findings older than `maxAgeMs` are left out: `oldestAgeMs` applies to all, so one old finding would age the others. */
export function makeEvidenceChangeTracker({ maxAgeMs }: { readonly maxAgeMs: number }): EvidenceChangeTracker {
    const sentEntries = new Map<string, SentEntry>();
    let nextSlot = 0;

    const removeLapsed = (fresh: ReadonlyMap<string, ProbeEvidence>): number[] => {
        const gone = [...sentEntries].filter(([instance]) => !fresh.has(instance));
        gone.forEach(([instance]) => sentEntries.delete(instance));
        return gone.map(([, { slot }]) => slot);
    };

    return {
        next: (findings, nowMs) => {
            const fresh = new Map([...findings].filter(([, { sentAtMs }]) => nowMs - sentAtMs <= maxAgeMs));
            const news = { changes: [], loads: [], lapsed: removeLapsed(fresh) } as Pick<
                EvidenceUpdate,
                "changes" | "loads" | "lapsed"
            >;
            let oldestAgeMs = 0;
            for (const [instance, { identity, info, sentAtMs }] of fresh) {
                oldestAgeMs = Math.max(oldestAgeMs, nowMs - sentAtMs);
                const before = sentEntries.get(instance);
                if (before?.identity !== identity) {
                    const slot = before?.slot ?? nextSlot++;
                    sentEntries.set(instance, { slot, identity, load: info.load });
                    news.changes.push({ slot, info });
                }
                else if (before.load.running !== info.load.running || before.load.waiting !== info.load.waiting) {
                    before.load = info.load;
                    news.loads.push({ slot: before.slot, load: info.load });
                }
            }
            return sentEntries.size === 0 && news.lapsed.length === 0
                ? undefined
                : { ...news, oldestAgeMs: Math.ceil(oldestAgeMs) };
        },
    };
}
