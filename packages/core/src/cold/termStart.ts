/**
 * When the lease term of this process began, by its own clock. A term that it regains with the same fence, after it was
 * uncertain of it, goes on: nobody else held the lease meanwhile, and its ledger still holds all grants.
 */
export type TermStart = {
    /** Records the fence of the term that is held now, or undefined without one. */
    readonly note: (fence: number | undefined, nowMs: number) => void;
    readonly sinceMs: () => number | undefined;
};

export function makeTermStart(): TermStart {
    let last: { readonly fence: number; readonly sinceMs: number } | undefined;
    return {
        note: (fence, nowMs) => {
            if (fence !== undefined && fence !== last?.fence) {
                last = { fence, sinceMs: nowMs };
            }
        },
        sinceMs: () => last?.sinceMs,
    };
}
