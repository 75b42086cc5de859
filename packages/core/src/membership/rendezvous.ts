/** Rendezvous hashing: the same candidates give the same choice in every process, and losing one changes few choices. */

export type Hash = (text: string) => number;

/** The `count` candidates with the highest weight for `key`, the highest first. */
export function chooseByRendezvous(
    key: string,
    candidates: readonly string[],
    count: number,
    hash: Hash,
): readonly string[] {
    if (candidates.length <= count) {
        return candidates;
    }
    return candidates
        .map(candidate => ({ candidate, weight: hash(`${key}\u0000${candidate}`) }))
        .sort((a, b) => b.weight - a.weight || (a.candidate < b.candidate ? -1 : 1))
        .slice(0, count)
        .map(({ candidate }) => candidate);
}
