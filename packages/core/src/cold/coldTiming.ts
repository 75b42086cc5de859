/**
 * Timing of grants for requests to cold upstreams.
 *
 * A request on a grant is sent after the holder granted it and less than `grantLapseMs` after the question. So the
 * requests that are sent within any second were granted within `grantWindowMs`, whatever the delays of messages.
 */
import { type ColdStart } from "@rattanquay/schema";

/** A question without an answer for this long is given up; the request goes elsewhere. */
export const answerTimeoutMs = 60;
/**
 * A grant lapses this long after its question, by the clock of the process that asked. A longer lifetime would lengthen
 * the window over which grants are counted, and so leave less of the limit usable.
 */
export const grantLapseMs = answerTimeoutMs;
/** The holder of the planning lease counts its grants over this time. */
export const grantWindowMs = 1_000 + grantLapseMs;
/**
 * A new holder grants nothing for this long, as it does not know the grants of the one before. The earlier term was
 * over when its own began, so the sends on grants of the two are more than a second apart.
 */
export const grantDelayAfterTermStartMs = 1_200;
/** After an unanswered question, the same holder is not asked again for this long. */
export const unansweredPauseMs = 200;

/** How far all processes together may exceed a cold upstream's rate: by a factor, and by requests in any one second. */
export type ColdBound = { readonly overrun: number; readonly tolerance: number };

/** The number of requests that all processes together may send to a cold upstream within any second. */
export function coldLimit({ requestsPerSecond }: ColdStart, { overrun, tolerance }: ColdBound): number {
    return Math.floor(requestsPerSecond * overrun + tolerance);
}

/** Whether it is too late to send on a grant. Check it right before the bytes go out. */
export function hasGrantLapsed(askedAtMs: number, nowMs: number): boolean {
    return nowMs - askedAtMs >= grantLapseMs;
}
