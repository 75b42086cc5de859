/**
 * Derives from the ends of upstreams which prompt segments caused them.
 *
 * A segment that ends upstreams is in the prompt of a waiting request at each of these ends, and no upstream has written an
 * answer on it since. A sound segment is there by chance, and is cleared as soon as some upstream writes on it.
 */

import { type Prompt } from "@rattanquay/schema";
import { containsAll, type Hold, holdsBack } from "./prompt";

/** The end of an upstream, and the segments of prompts that it had not begun to answer. */
export type StandingCrash = {
    readonly crash: string;
    readonly atMs: number;
    /** Without segments on which an upstream has written since. */
    readonly prompts: readonly Prompt[];
};

export type CulpritInput = {
    /** The crashes of one scope. */
    readonly crashes: readonly StandingCrash[];
    /** The quarantines in force: a crash with a prompt that one of them holds back is explained by it. */
    readonly quarantined: readonly Hold[];
    /** Whether upstreams are known to have written on a segment at any time, before these crashes too. */
    readonly isKnownSound: (segment: string) => boolean;
};

/** Segments that occur together in the same prompts, the crashes at which they do, and whose prompts these all are. */
export type Culprit = Hold & { readonly crashes: readonly string[] };

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
    quarantined: readonly Hold[],
): readonly Support[] {
    const crashesBySegment = new Map<string, { readonly crashes: StandingCrash[]; explainsNew: boolean }>();
    for (const crash of crashes) {
        const explanations = quarantined.filter(hold => crash.prompts.some(prompt => holdsBack(hold, prompt)));
        const counted = explanations.length === 0 ? crash.prompts : explanations;
        for (const segment of new Set(counted.flatMap(({ segments }) => segments))) {
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
    const groups = new Map<string, { readonly segments: string[]; readonly crashes: readonly StandingCrash[] }>();
    const concerned = new Set(supports.flatMap(({ crashes }) => crashes));
    const places = new Map([...concerned].map(crash => [crash, placesOf(crash)]));
    for (const { segment, crashes } of supports) {
        const key = crashes.map(found => `${found.crash} ${places.get(found)!.get(segment)?.join(" ")}`).join(",");
        const group = groups.get(key) ?? { segments: [], crashes };
        group.segments.push(segment);
        groups.set(key, group);
    }
    return [...groups.values()].map(({ segments, crashes }) => ({
        segments: segments.sort(),
        workspace: commonWorkspace(segments, crashes),
        crashes: crashes.map(({ crash }) => crash),
    }));
}

/** In which prompts of a crash each segment stands. */
function placesOf({ prompts }: StandingCrash): ReadonlyMap<string, readonly number[]> {
    const places = new Map<string, number[]>();
    for (const [index, { segments }] of prompts.entries()) {
        for (const segment of new Set(segments)) {
            const known = places.get(segment) ?? [];
            known.push(index);
            places.set(segment, known);
        }
    }
    return places;
}

/** The workspace that all prompts with the segments are of; undefined if there are several. */
function commonWorkspace(segments: readonly string[], crashes: readonly StandingCrash[]): string | undefined {
    const prompts = crashes.flatMap(crash => crash.prompts).filter(prompt => containsAll(prompt.segments, segments));
    const workspaces = new Set(prompts.map(({ workspace }) => workspace));
    return workspaces.size === 1 ? prompts[0]!.workspace : undefined;
}
