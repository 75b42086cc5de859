/** Which free instances a new group takes; a policy by name. */
import { type Candidate } from "./zoneView";

export type Domains = ReadonlyMap<string, readonly Candidate[]>;

/** What is looked for: how many instances, for which weights, and how large the largest groups of the zone are. */
export type SpareWish = { readonly size: number; readonly weights: string; readonly largestSize: number };

/** Chooses instances of one domain, or none when no domain has as many. */
export type SpareChoice = (free: Domains, wish: SpareWish) => readonly Candidate[] | undefined;

type Domain = readonly [name: string, members: readonly Candidate[]];

const cachedCount = (members: readonly Candidate[], weights: string): number =>
    members.filter(member => member.cachedWeights.includes(weights)).length;

const cachedFirst = (members: readonly Candidate[], weights: string): readonly Candidate[] =>
    [...members].sort((a, b) => cachedCount([b], weights) - cachedCount([a], weights));

const sufficient = (free: Domains, size: number): readonly Domain[] =>
    [...free].filter(([, members]) => members.length >= size);

/** How many groups of the largest size a domain no longer holds once `size` instances are taken from it. */
const largeGroupsLost = (count: number, { size, largestSize }: SpareWish): number =>
    Math.floor(count / largestSize) - Math.floor((count - size) / largestSize);

export const spareChoices = {
    /**
     * The domain that loses the fewest places for groups of the largest size, then the one with the weights, then the one
     * that comes out most even.
     */
    bestFit: (free, wish) => {
        const { size, weights } = wish;
        const ranked = [...sufficient(free, size)].sort(([nameA, a], [nameB, b]) =>
            largeGroupsLost(a.length, wish) - largeGroupsLost(b.length, wish)
            || Math.min(size, cachedCount(b, weights)) - Math.min(size, cachedCount(a, weights))
            || a.length % size - b.length % size
            || a.length - b.length
            || nameA.localeCompare(nameB)
        );
        const best = ranked[0];
        return best === undefined ? undefined : cachedFirst(best[1], weights).slice(0, size);
    },
    /** The first domain that suffices, the baseline. */
    firstFit: (free, { size }) => sufficient(free, size)[0]?.[1].slice(0, size),
} satisfies Record<string, SpareChoice>;
