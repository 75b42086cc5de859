/** Keeps the events of one response in sequence when the response is assembled from several attempts. */

export type EventDecision =
    | "pass"
    /** The caller has already received this event. */
    | "drop"
    /** An earlier event is missing: the attempt cannot continue. */
    | "gap";

export type EventOrder = {
    readonly judge: (id: number | undefined) => EventDecision;
    /** The id of the last numbered event that was passed on, or else the initial `after`. */
    readonly lastId: () => number | undefined;
};

/** `after` is the id of the last event that the caller received earlier, if it sent one. */
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
