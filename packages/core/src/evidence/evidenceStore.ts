/** Stores the most recent evidence of each instance, from this process's own probes and from peers. */
import { type EvidenceUpdate } from "@rattanquay/schema";
import { type Evidence } from "./evaluateGroup";

export type EvidenceStore = {
    readonly noteOwnEvidence: (instance: string, evidence: Evidence) => void;
    /**
     * Applies a peer's update, which was sent no earlier than `sentAtMs` on this process's clock. An update of unknown
     * age (`-Infinity`) still updates the slots, but does not count as evidence until a later update confirms it.
     */
    readonly applyPeerUpdate: (peer: string, news: EvidenceUpdate, sentAtMs: number) => void;
    /** Discards a peer's slots, because slot numbers start over on a new link. */
    readonly forgetPeer: (peer: string) => void;
    /** Drops own evidence of all instances but these. */
    readonly retain: (instances: ReadonlySet<string>) => void;
    readonly best: () => ReadonlyMap<string, Evidence>;
};

export function makeEvidenceStore(): EvidenceStore {
    const own = new Map<string, Evidence>();
    const peers = new Map<string, Map<number, Evidence>>();

    const noteNews = (peer: string, news: EvidenceUpdate, sentAtMs: number): void => {
        const slots = peers.get(peer) ?? new Map<number, Evidence>();
        peers.set(peer, slots);
        const earliestProbeMs = sentAtMs - news.oldestAgeMs;
        const lapsedSlots = new Set(news.lapsed);
        lapsedSlots.forEach(slot => slots.delete(slot));
        for (const [slot, evidence] of slots) {
            slots.set(slot, { info: evidence.info, sentAtMs: Math.max(evidence.sentAtMs, earliestProbeMs) });
        }
        news.changes.forEach(({ slot, info }) => slots.set(slot, { info, sentAtMs: earliestProbeMs }));
        for (const { slot, load } of news.loads) {
            const known = slots.get(slot);
            if (known !== undefined) {
                slots.set(slot, { ...known, info: { ...known.info, load } });
            }
        }
    };

    return {
        noteOwnEvidence: (instance, evidence) => {
            own.set(instance, evidence);
        },
        applyPeerUpdate: noteNews,
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
