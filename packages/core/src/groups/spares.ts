/** Named policies for choosing the free instances of a new group. */
import { type Candidate } from "./zoneView";

export type CandidatesByDomain = ReadonlyMap<string, readonly Candidate[]>;

/** A new group's size and weights, and the size of the largest groups in the zone. */
export type SpareRequest = { readonly size: number; readonly weights: string; readonly largestSize: number };

/** Chooses instances of one domain; returns undefined if no domain has enough. */
export type SpareSelectionPolicy = (
    free: CandidatesByDomain,
    request: SpareRequest,
) => readonly Candidate[] | undefined;

type DomainEntry = readonly [name: string, members: readonly Candidate[]];

const cachedCount = (members: readonly Candidate[], weights: string): number =>
    members.filter(member => member.cachedWeights.includes(weights)).length;

const cachedFirst = (members: readonly Candidate[], weights: string): readonly Candidate[] =>
    [...members].sort((a, b) => cachedCount([b], weights) - cachedCount([a], weights));

const domainsWithAtLeast = (free: CandidatesByDomain, size: number): readonly DomainEntry[] =>
    [...free].filter(([, members]) => members.length >= size);

/** How many groups of the largest size a domain no longer holds once `size` instances are taken from it. */
const largeGroupsLost = (count: number, { size, largestSize }: SpareRequest): number =>
    Math.floor(count / largestSize) - Math.floor((count - size) / largestSize);

export const spareSelectionPolicies = {
    /**
     * The domain that loses the fewest possible groups of the largest size, then the one with the most cached weights,
     * then the one that leaves the smallest remainder after division into groups of this size.
     */
    bestFit: (free, request) => {
        const { size, weights } = request;
        const ranked = [...domainsWithAtLeast(free, size)].sort(([nameA, a], [nameB, b]) =>
            largeGroupsLost(a.length, request) - largeGroupsLost(b.length, request)
            || Math.min(size, cachedCount(b, weights)) - Math.min(size, cachedCount(a, weights))
            || a.length % size - b.length % size
            || a.length - b.length
            || nameA.localeCompare(nameB)
        );
        const best = ranked[0];
        return best === undefined ? undefined : cachedFirst(best[1], weights).slice(0, size);
    },
    /** The first domain with enough instances; the baseline policy. */
    firstFit: (free, { size }) => domainsWithAtLeast(free, size)[0]?.[1].slice(0, size),
} satisfies Record<string, SpareSelectionPolicy>;
