/**
 * Positions in the history of a store that can come back from an older copy.
 *
 * Within an era of the store, its revisions only rise. A store that has come back from a copy begins another era, in which it
 * assigns revisions anew from the copy's on. A position holds both, the era in the high digits and the revision in the low
 * ones (as a zxid of ZooKeeper does), so that positions compare as numbers: by era first.
 */

/** 0 is before all positions. In a store without eras, whose era is 0, a position is its revision. */
export type StorePosition = number;

const revisionsPerEra = 2 ** 40;
export const maxRevision = revisionsPerEra - 1;
/** The largest era whose positions are exact numbers. */
export const maxEra = 2 ** 13 - 1;

export function storePosition(era: number, revision: number): StorePosition {
    return era * revisionsPerEra + revision;
}

export function eraOf(position: StorePosition): number {
    return Math.floor(position / revisionsPerEra);
}

export function revisionOf(position: StorePosition): number {
    return position % revisionsPerEra;
}

/** A position as logged and as sent to other processes. */
export function describePosition(position: StorePosition): { readonly era: number; readonly revision: number } {
    return { era: eraOf(position), revision: revisionOf(position) };
}
