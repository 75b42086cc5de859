/** What one peer has been told over one link, so that only changes are sent. */
import { type EvidenceNews, type ServerInfo } from "@rattanquay/schema";
import { type Evidence } from "./judgeGroup";

/** Evidence from an own probe. `identity` is the account without its load, for quick comparison. */
export type Finding = Evidence & { readonly identity: string };

export type NewsLedger = {
    /** The news since the last call; `undefined` while there is nothing to vouch for and nothing to take back. */
    readonly next: (findings: ReadonlyMap<string, Finding>, nowMs: number) => EvidenceNews | undefined;
};

type Told = { readonly slot: number; identity: string; load: ServerInfo["load"] };

/** Findings older than `maxAgeMs` are not vouched for, as one old finding would age all others with it. */
export function makeNewsLedger({ maxAgeMs }: { readonly maxAgeMs: number }): NewsLedger {
    const told = new Map<string, Told>();
    let nextSlot = 0;

    const lapse = (fresh: ReadonlyMap<string, Finding>): number[] => {
        const gone = [...told].filter(([instance]) => !fresh.has(instance));
        gone.forEach(([instance]) => told.delete(instance));
        return gone.map(([, { slot }]) => slot);
    };

    return {
        next: (findings, nowMs) => {
            const fresh = new Map([...findings].filter(([, { sentAtMs }]) => nowMs - sentAtMs <= maxAgeMs));
            const news = { changes: [], loads: [], lapsed: lapse(fresh) } as Pick<
                EvidenceNews,
                "changes" | "loads" | "lapsed"
            >;
            let oldestAgeMs = 0;
            for (const [instance, { identity, info, sentAtMs }] of fresh) {
                oldestAgeMs = Math.max(oldestAgeMs, nowMs - sentAtMs);
                const before = told.get(instance);
                if (before?.identity !== identity) {
                    const slot = before?.slot ?? nextSlot++;
                    told.set(instance, { slot, identity, load: info.load });
                    news.changes.push({ slot, info });
                }
                else if (before.load.running !== info.load.running || before.load.waiting !== info.load.waiting) {
                    before.load = info.load;
                    news.loads.push({ slot: before.slot, load: info.load });
                }
            }
            return told.size === 0 && news.lapsed.length === 0
                ? undefined
                : { ...news, oldestAgeMs: Math.ceil(oldestAgeMs) };
        },
    };
}
