/** Which free instances a new group takes; a policy by name. */
import { type Candidate } from "./zoneView";

export type Domains = ReadonlyMap<string, readonly Candidate[]>;

/** Chooses `size` instances of one domain, or none when no domain has as many. */
export type SpareChoice = (free: Domains, size: number, weights: string) => readonly Candidate[] | undefined;

type Domain = readonly [name: string, members: readonly Candidate[]];

const cachedCount = (members: readonly Candidate[], weights: string): number =>
    members.filter(member => member.cachedWeights.includes(weights)).length;

const cachedFirst = (members: readonly Candidate[], weights: string): readonly Candidate[] =>
    [...members].sort((a, b) => cachedCount([b], weights) - cachedCount([a], weights));

const sufficient = (free: Domains, size: number): readonly Domain[] =>
    [...free].filter(([, members]) => members.length >= size);

export const spareChoices = {
    /** The domain with the fewest instances that suffice, so that large domains stay whole; cached weights first. */
    bestFit: (free, size, weights) => {
        const ranked = [...sufficient(free, size)].sort(([nameA, a], [nameB, b]) =>
            Math.min(size, cachedCount(b, weights)) - Math.min(size, cachedCount(a, weights))
            || a.length % size - b.length % size
            || a.length - b.length
            || nameA.localeCompare(nameB)
        );
        const best = ranked[0];
        return best === undefined ? undefined : cachedFirst(best[1], weights).slice(0, size);
    },
    /** The first domain that suffices, the baseline. */
    firstFit: (free, size) => sufficient(free, size)[0]?.[1].slice(0, size),
} satisfies Record<string, SpareChoice>;
