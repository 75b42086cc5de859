/**
 * Derives from the ends of upstreams which prompt segments caused them.
 *
 * A segment that ends upstreams is in the prompt of a waiting request at each of these ends, and no upstream has written an
 * answer on it since. A sound segment is there by chance, and is cleared as soon as some upstream writes on it.
 */

/** The end of an upstream, and the segments of prompts that it had not begun to answer. */
export type StandingCrash = {
    readonly crash: string;
    readonly atMs: number;
    /** Without segments on which an upstream has written since. */
    readonly prompts: readonly (readonly string[])[];
};

export type CulpritInput = {
    /** The crashes of one scope. */
    readonly crashes: readonly StandingCrash[];
    /** The segments of quarantines in force: a crash with a prompt that contains all of one is explained by it. */
    readonly quarantined: readonly (readonly string[])[];
    /** Whether upstreams are known to have written on a segment at any time, before these crashes too. */
    readonly isKnownSound: (segment: string) => boolean;
};

/** Segments that occur together in the same prompts, and the crashes at which they do. */
export type Culprit = { readonly segments: readonly string[]; readonly crashes: readonly string[] };

/** Crashes closer together than this may have one outside cause, such as a power failure, and count as one. */
const sameEventMs = 250;
/** Different upstreams that end under a segment that was never sound, even at the same moment. */
const minUpstreams = 3;
/** Separate crashes that are needed, and the larger number for segments that were sound before. */
const minEvents = 2;
const minEventsIfKnownSound = 3;
/** More independent explanations than this are no explanation: further evidence must decide. */
const maxCulprits = 3;

type Support = {
    readonly segment: string;
    readonly crashes: readonly StandingCrash[];
    readonly events: number;
    readonly explainsNew: boolean;
};

export function findCulprits({ crashes, quarantined, isKnownSound }: CulpritInput): readonly Culprit[] {
    const supports = supportsOf(crashes, quarantined).filter(({ explainsNew }) => explainsNew);
    const fresh = supports.filter(({ segment, events, crashes: found }) =>
        !isKnownSound(segment) && (events >= minEvents || found.length >= minUpstreams)
    );
    const known = supports.filter(({ segment, events }) => isKnownSound(segment) && events >= minEventsIfKnownSound);
    const best = strongest(fresh.length > 0 ? fresh : known);
    const culprits = groupByPrompts(best);
    return culprits.length > maxCulprits ? [] : culprits;
}

/**
 * Counts the crashes of each segment. Crashes that a quarantine explains count only for the segments of that quarantine,
 * which may turn out to be fewer than all of it.
 */
function supportsOf(
    crashes: readonly StandingCrash[],
    quarantined: readonly (readonly string[])[],
): readonly Support[] {
    const crashesBySegment = new Map<string, { readonly crashes: StandingCrash[]; explainsNew: boolean }>();
    for (const crash of crashes) {
        const explanations = quarantined.filter(segments =>
            crash.prompts.some(prompt => containsAll(prompt, segments))
        );
        const counted = explanations.length === 0 ? crash.prompts.flat() : explanations.flat();
        for (const segment of new Set(counted)) {
            const entry = crashesBySegment.get(segment) ?? { crashes: [], explainsNew: false };
            entry.crashes.push(crash);
            entry.explainsNew ||= explanations.length === 0;
            crashesBySegment.set(segment, entry);
        }
    }
    return [...crashesBySegment].map(([segment, { crashes: found, explainsNew }]) => ({
        segment,
        crashes: found,
        events: countEvents(found),
        explainsNew,
    }));
}

function countEvents(crashes: readonly StandingCrash[]): number {
    let events = 0;
    let lastAtMs = -Infinity;
    for (const atMs of crashes.map(crash => crash.atMs).sort((a, b) => a - b)) {
        if (atMs - lastAtMs >= sameEventMs) {
            events++;
            lastAtMs = atMs;
        }
    }
    return events;
}

function strongest(supports: readonly Support[]): readonly Support[] {
    const most = Math.max(0, ...supports.map(({ crashes }) => crashes.length));
    return supports.filter(({ crashes }) => crashes.length === most);
}

/** Segments that nothing distinguishes are one culprit: only requests with all of them are held back. */
function groupByPrompts(supports: readonly Support[]): readonly Culprit[] {
    const segmentsByPrompts = new Map<string, { readonly segments: string[]; readonly crashes: readonly string[] }>();
    for (const { segment, crashes } of supports) {
        const key = crashes.map(({ crash, prompts }) => {
            const places = prompts.flatMap((prompt, index) => prompt.includes(segment) ? [index] : []);
            return `${crash} ${places.join(" ")}`;
        }).join(",");
        const culprit = segmentsByPrompts.get(key) ?? { segments: [], crashes: crashes.map(({ crash }) => crash) };
        culprit.segments.push(segment);
        segmentsByPrompts.set(key, culprit);
    }
    return [...segmentsByPrompts.values()].map(({ segments, crashes }) => ({ segments: segments.sort(), crashes }));
}

export function containsAll(prompt: readonly string[], segments: readonly string[]): boolean {
    return segments.every(segment => prompt.includes(segment));
}
