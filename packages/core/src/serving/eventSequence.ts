/**
 * Keeps the events of one response in sequence when the response is assembled from several runs.
 *
 * Ids increase and may leave numbers out, so they don't show whether an event is missing within a run. A run that
 * continues another one starts after the last id that was forwarded: an event with that id or a lower one is a duplicate.
 */

export type EventDecision =
    | "pass"
    /** The caller has already received this event. */
    | "drop"
    /** The ids of this run don't increase: the attempt cannot continue. */
    | "disorder";

export type EventSequence = {
    /** Starts a run, which goes on after `lastId`, and returns the check for its events in turn. */
    readonly startRun: () => (id: number | undefined) => EventDecision;
    /** The id of the last numbered event that was passed on, or else the initial `after`. */
    readonly lastId: () => number | undefined;
};

/** `after` is the id of the last event that the caller received earlier, if it sent one. */
export function makeEventSequence(after: number | undefined): EventSequence {
    let last = after;
    const startRun = () => {
        let lastOfRun: number | undefined;
        return (id: number | undefined): EventDecision => {
            if (id === undefined) {
                return "pass";
            }
            if (!Number.isSafeInteger(id) || (lastOfRun !== undefined && id < lastOfRun)) {
                return "disorder";
            }
            lastOfRun = id;
            if (last !== undefined && id <= last) {
                return "drop";
            }
            last = id;
            return "pass";
        };
    };
    return { startRun, lastId: () => last };
}
