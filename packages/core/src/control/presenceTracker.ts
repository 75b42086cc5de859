/** Measures how long conditions have held, on the local clock. */

/** Records how long each key has been present in a set that is passed in full with each update. */
export type PresenceTracker = {
    readonly note: (keys: Iterable<string>, nowMs: number) => void;
    readonly sinceMs: (key: string) => number | undefined;
    /** Keys that have been present for at least `durationMs`. */
    readonly longerThan: (durationMs: number, nowMs: number) => ReadonlySet<string>;
};

export function makePresenceTracker(): PresenceTracker {
    let since: ReadonlyMap<string, number> = new Map();
    return {
        note: (keys, nowMs) => {
            since = new Map([...keys].map(key => [key, since.get(key) ?? nowMs]));
        },
        sinceMs: key => since.get(key),
        longerThan: (durationMs, nowMs) =>
            new Set([...since].filter(([, sinceMs]) => nowMs - sinceMs >= durationMs).map(([key]) => key)),
    };
}
