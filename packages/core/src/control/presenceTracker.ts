/** What a holder notices over time: since when something has been so, on its own clock. */

/** Remembers since when each key has been in a set that is given anew each time. */
export type Watch = {
    readonly note: (keys: Iterable<string>, nowMs: number) => void;
    readonly sinceMs: (key: string) => number | undefined;
    /** Keys that have been there for at least `durationMs`. */
    readonly longerThan: (durationMs: number, nowMs: number) => ReadonlySet<string>;
};

export function makeWatch(): Watch {
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
