/**
 * Schedules bodies in very small chunks, so that they arrive one after the other: parsing one block of such chunks takes as
 * long as many ordinary requests, and many such bodies at once would starve the others.
 */
import { type Holding } from "@rattanquay/core";
import { type Cancel, type Timer } from "@rattanquay/timer";
import { type IncomingMessage } from "node:http";

export type Turns = {
    /** Pauses the body until its turn. Has no effect on one that takes turns already. */
    readonly join: (request: IncomingMessage, holding: Holding) => void;
    /** Ends the turns of a body that is complete or given up; one that is paused stays so. */
    readonly leave: (request: IncomingMessage) => void;
    readonly stop: () => void;
};

/** Long enough for one block to be read, if one has arrived. */
const turnMs = 1;
/** How much longer nobody reads than the turn before took, so that others get most of the processor. */
const restFactor = 3;
const minRestMs = 5;
const maxRestMs = 100;

export function makeTurns(timer: Timer): Turns {
    /** In the order of their turns. */
    const waiting = new Map<IncomingMessage, Holding>();
    let reader: IncomingMessage | undefined;
    let cancel: Cancel | undefined;
    /** A body that is alone reads without pauses. */
    const pauseUnlessAlone = (request: IncomingMessage): void => {
        const holding = waiting.get(request);
        if (holding !== undefined && waiting.size > 1 && !holding.isPaused) {
            holding.isPaused = true;
            stopReading(request);
        }
    };
    const startTurn = (): void => {
        const [first] = waiting;
        if (first === undefined) {
            cancel = undefined;
            return;
        }
        const [request, holding] = first;
        waiting.delete(request);
        waiting.set(request, holding);
        reader = request;
        if (holding.isPaused) {
            holding.isPaused = false;
            request.resume();
            request.socket.resume();
        }
        const beganAtMs = timer.nowMs();
        cancel = timer.after(turnMs, () => {
            pauseUnlessAlone(request);
            reader = undefined;
            const restMs = Math.min(maxRestMs, Math.max(minRestMs, restFactor * (timer.nowMs() - beganAtMs)));
            cancel = timer.after(restMs, startTurn);
        });
    };
    return {
        join: (request, holding) => {
            if (waiting.has(request)) {
                return;
            }
            waiting.set(request, holding);
            // Pausing while the parser runs would make Node queue each remaining chunk of the block as an object.
            timer.after(0, () => {
                if (reader !== request) {
                    waiting.forEach((unused, other) => other !== reader && pauseUnlessAlone(other));
                }
            });
            cancel ??= timer.after(minRestMs, startTurn);
        },
        leave: request => waiting.delete(request),
        stop: () => cancel?.(),
    };
}

/** Reads nothing more from the connection. Must not be called while the parser runs: Node would queue the remaining chunks. */
export function stopReading(request: IncomingMessage): void {
    request.pause();
    request.socket.pause();
}
