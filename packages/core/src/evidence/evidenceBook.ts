/** The best evidence of each instance, from own probes and from what peers vouch for. */
import { type EvidenceNews } from "@rattanquay/schema";
import { type Evidence } from "./judgeGroup";

export type EvidenceBook = {
    readonly noteOwn: (instance: string, evidence: Evidence) => void;
    /**
     * Takes a peer's news, which was sent no earlier than `sentAtMs` on this process's clock. News of unknown age
     * (`-Infinity`) keeps the slots in step and is evidence of nothing until it is confirmed.
     */
    readonly noteNews: (peer: string, news: EvidenceNews, sentAtMs: number) => void;
    /** A new link to a peer: its slots begin anew. */
    readonly forgetPeer: (peer: string) => void;
    /** Drops what is not about these instances. */
    readonly retain: (instances: ReadonlySet<string>) => void;
    readonly best: () => ReadonlyMap<string, Evidence>;
};

export function makeEvidenceBook(): EvidenceBook {
    const own = new Map<string, Evidence>();
    const peers = new Map<string, Map<number, Evidence>>();

    const noteNews = (peer: string, news: EvidenceNews, sentAtMs: number): void => {
        const slots = peers.get(peer) ?? new Map<number, Evidence>();
        peers.set(peer, slots);
        const boundMs = sentAtMs - news.oldestAgeMs;
        const lapsed = new Set(news.lapsed);
        lapsed.forEach(slot => slots.delete(slot));
        for (const [slot, evidence] of slots) {
            slots.set(slot, { info: evidence.info, sentAtMs: Math.max(evidence.sentAtMs, boundMs) });
        }
        news.changes.forEach(({ slot, info }) => slots.set(slot, { info, sentAtMs: boundMs }));
        for (const { slot, load } of news.loads) {
            const known = slots.get(slot);
            if (known !== undefined) {
                slots.set(slot, { ...known, info: { ...known.info, load } });
            }
        }
    };

    return {
        noteOwn: (instance, evidence) => {
            own.set(instance, evidence);
        },
        noteNews,
        forgetPeer: peer => {
            peers.delete(peer);
        },
        retain: instances => {
            [...own.keys()].filter(instance => !instances.has(instance)).forEach(instance => own.delete(instance));
        },
        best: () => {
            const best = new Map(own);
            for (const slots of peers.values()) {
                for (const evidence of slots.values()) {
                    const { instance } = evidence.info;
                    const known = best.get(instance);
                    if (evidence.sentAtMs > (known?.sentAtMs ?? -Infinity)) {
                        best.set(instance, evidence);
                    }
                }
            }
            return best;
        },
    };
}
