/**
 * Remembers prompt segments on which upstreams have written answers without ending.
 *
 * The memory is bounded. Segments that were sound more than once are kept apart from those that were sound once, so that
 * callers who make up new segments do not displace the ones in common use.
 */

export type RecentlySound = {
    readonly note: (scope: string, segment: string) => void;
    readonly has: (scope: string, segment: string) => boolean;
};

const maxSegments = 2_048;

export function makeRecentlySound(): RecentlySound {
    const once = new Set<string>();
    const repeatedly = new Set<string>();
    return {
        note: (scope, segment) => {
            const key = keyOf(scope, segment);
            const target = once.delete(key) || repeatedly.has(key) ? repeatedly : once;
            target.delete(key);
            target.add(key);
            if (target.size > maxSegments) {
                target.delete(target.values().next().value!);
            }
        },
        has: (scope, segment) => once.has(keyOf(scope, segment)) || repeatedly.has(keyOf(scope, segment)),
    };
}

function keyOf(scope: string, segment: string): string {
    return `${scope} ${segment}`;
}
