/** Decides which request is ended when the bytes that are held for callers exceed the budget. */

export type EvictionCandidate = {
    /**
     * `arriving`: its body is not complete. `atUpstream`: it was passed on, or waits to be. `answered`: its caller has yet to
     * take the answer.
     */
    readonly phase: "arriving" | "atUpstream" | "answered";
    readonly bytes: number;
    /** For how long its caller has sent or taken nothing. */
    readonly stalledMs: number;
};

/** Callers that are slow, but not at a standstill, send or take something more often than that. */
const minStalledMs = 500;

/**
 * The one that holds most for longest without progress. None that is with an upstream, and none whose caller still makes
 * progress: a caller that reads nothing is ended before one that reads slowly.
 */
export function chooseEviction<T extends EvictionCandidate>(candidates: Iterable<T>): T | undefined {
    let chosen: T | undefined;
    let highest = 0;
    for (const candidate of candidates) {
        const { phase, bytes, stalledMs } = candidate;
        const weight = phase === "atUpstream" || stalledMs < minStalledMs ? 0 : (bytes + 1) * stalledMs;
        if (weight > highest) {
            chosen = candidate;
            highest = weight;
        }
    }
    return chosen;
}
