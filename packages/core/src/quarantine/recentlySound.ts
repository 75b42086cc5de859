/**
 * Remembers prompt segments on which upstreams have written answers without ending.
 *
 * The memory is bounded. Segments that were sound more than once are kept apart from those that were sound once, so that
 * callers who make up new segments do not displace the ones in common use. A scope with many segments displaces its own.
 */

export type RecentlySound = {
    readonly note: (scope: string, segment: string) => void;
    readonly has: (scope: string, segment: string) => boolean;
};

/** Of all scopes, for segments that were sound once and again for those that were sound more often. */
const maxSegments = 16_384;

export function makeRecentlySound(): RecentlySound {
    const once = makeSegmentMemory();
    const repeatedly = makeSegmentMemory();
    return {
        note: (scope, segment) => {
            const target = once.delete(scope, segment) || repeatedly.has(scope, segment) ? repeatedly : once;
            target.add(scope, segment);
        },
        has: (scope, segment) => once.has(scope, segment) || repeatedly.has(scope, segment),
    };
}

function makeSegmentMemory() {
    const segmentsByScope = new Map<string, Set<string>>();
    let size = 0;
    const remove = (scope: string, segment: string): boolean => {
        const segments = segmentsByScope.get(scope);
        if (segments?.delete(segment) !== true) {
            return false;
        }
        size--;
        if (segments.size === 0) {
            segmentsByScope.delete(scope);
        }
        return true;
    };
    const dropOldest = (): void => {
        const [scope, segments] = [...segmentsByScope].reduce((a, b) => b[1].size > a[1].size ? b : a);
        remove(scope, segments.values().next().value!);
    };
    return {
        add: (scope: string, segment: string): void => {
            remove(scope, segment);
            const segments = segmentsByScope.get(scope) ?? new Set();
            segmentsByScope.set(scope, segments.add(segment));
            size++;
            if (size > maxSegments) {
                dropOldest();
            }
        },
        delete: remove,
        has: (scope: string, segment: string): boolean => segmentsByScope.get(scope)?.has(segment) === true,
    };
}
