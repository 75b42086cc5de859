/**
 * Load shedding: the priority of requests, which of them are refused at once, and when their callers should retry.
 *
 * While a model's groups are overloaded for seconds, accepting every request would make all of them late.
 */
import { type AdmittedRequest } from "./admittedRequest";
import { type ExchangeDependencies } from "./exchangeDependencies";
import { type Placement } from "./placement";

/** A request is refused only if its prediction exceeds the objective by this factor, because predictions are rough. */
const maxLatenessFactor = 2;
/** Priorities range from 0 (first) to 9; upstreams assume 5 for requests without one. */
const onTimePriority = 4;
const latePriority = 7;
/** Longest retry delay that callers follow, as a share of the time left to them. */
const retryDelayShare = 0.32;
/** Retry delays are reduced by up to this share at random, so that callers do not retry all at once. */
const retryJitter = 0.4;

/** Whether to refuse a request that would miss its objective and delay others. */
export function isTooLate({ service, route }: AdmittedRequest, { predictedMs }: Placement): boolean {
    return service.engine !== undefined && predictedMs > route.objectiveMs * maxLatenessFactor;
}

/** Requests that can still meet their objective go before those that cannot. */
export function priorityOf({ service, route }: AdmittedRequest, { predictedMs }: Placement): number | undefined {
    if (service.engine === undefined) {
        return undefined;
    }
    return predictedMs <= route.objectiveMs ? onTimePriority : latePriority;
}

/** The retry delay: as long as callers follow it, because forming a group takes seconds. */
export function retryAfterMs(
    { endByMs }: AdmittedRequest,
    { context: { timer, random } }: ExchangeDependencies,
): number {
    const leftMs = Math.max(0, endByMs - timer.nowMs());
    return leftMs * retryDelayShare * (1 - retryJitter * random());
}

/** Adds jitter to a Retry-After of `delayMs`, so that callers do not return at the same moment. */
export function spreadRetryMs(delayMs: number, { context: { random } }: ExchangeDependencies): number {
    return delayMs * (1 + retryJitter * random());
}
