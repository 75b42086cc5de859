/**
 * What is done about requests that will be late: which go first, which are refused at once, and when they may come back.
 *
 * Answers the load in which a model's groups have more to do than they can for seconds: if all are taken, all are late.
 */
import { type Job } from "./job";
import { type Placement } from "./placement";
import { type Reach } from "./reach";

/** A prediction may be this much over the objective before the request is refused, for it is rough. */
const lateFactor = 2;
/** Of 0 to 9, 0 first; an upstream gives 5 to requests without one. */
const usualPriority = 4;
const latePriority = 7;
/** Part of their time left for which callers will wait. */
const heededShare = 0.32;
/** Callers are told times that differ by this part, so that they do not come back at the same moment. */
const retrySpread = 0.4;

/** Whether a request is better refused than sent: it could not be on time, and would keep others from being so. */
export function isTooLate({ service, route }: Job, { predictedMs }: Placement): boolean {
    return service.engine !== undefined && predictedMs > route.objectiveMs * lateFactor;
}

/** Requests that can still be on time go before those that cannot. */
export function priorityOf({ service, route }: Job, { predictedMs }: Placement): number | undefined {
    if (service.engine === undefined) {
        return undefined;
    }
    return predictedMs <= route.objectiveMs ? usualPriority : latePriority;
}

/** When to come back: as late as callers heed, since groups take seconds to form. */
export function retryAfterMs({ endByMs }: Job, { surroundings: { timer, random } }: Reach): number {
    const leftMs = Math.max(0, endByMs - timer.nowMs());
    return leftMs * heededShare * (1 - retrySpread * random());
}
