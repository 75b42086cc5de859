/** Keeps the events of one response in sequence when the response is assembled from several attempts. */

export type EventDecision =
    | "pass"
    /** The caller has already received this event. */
    | "drop"
    /** An earlier event is missing: the attempt cannot continue. */
    | "gap";

export type EventSequence = {
    readonly checkNext: (id: number | undefined) => EventDecision;
    /** The id of the last numbered event that was passed on, or else the initial `after`. */
    readonly lastId: () => number | undefined;
};

/** `after` is the id of the last event that the caller received earlier, if it sent one. */
export function makeEventSequence(after: number | undefined): EventSequence {
    let last = after;
    return {
        checkNext: id => {
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
