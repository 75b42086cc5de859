/** Keeps the events of one answer in order, across the runs that it may be put together from. */

export type EventVerdict =
    | "pass"
    /** The caller has it already. */
    | "drop"
    /** One before it is missing: the run cannot go on. */
    | "gap";

export type EventOrder = {
    readonly judge: (id: number | undefined) => EventVerdict;
    /** The last event that was passed, where one was numbered. */
    readonly lastId: () => number | undefined;
};

/** `after` is the last event that the caller has from before, if it says so. */
export function makeEventOrder(after: number | undefined): EventOrder {
    let last = after;
    return {
        judge: id => {
            if (id === undefined) {
                return "pass";
            }
            if (last !== undefined && id <= last) {
                return "drop";
            }
            if (id !== (last ?? 0) + 1) {
                return "gap";
            }
            last = id;
            return "pass";
        },
        lastId: () => last,
    };
}
