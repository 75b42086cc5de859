/** Log lines about the attempts of an exchange that brought no good answer. */
import { type AttemptFailure } from "@rattanquay/core";
import { errorFields } from "../errorFields";
import { type AdmittedRequest } from "./admittedRequest";
import { type ExchangeDependencies } from "./exchangeDependencies";
import { type Placement } from "./placement";
import { type AttemptResult } from "./relays";

export type FailedAttempt = {
    readonly admitted: AdmittedRequest;
    readonly placement: Placement;
    readonly result: Exclude<AttemptResult, { readonly kind: "answered" }>;
    readonly failure: AttemptFailure;
    /** For how long the answer had been arriving. */
    readonly answeringMs: number | undefined;
    readonly lastEventId: number | undefined;
};

export function logFailedAttempt(
    { admitted, placement, result, failure, answeringMs, lastEventId }: FailedAttempt,
    { context: { log, timer } }: ExchangeDependencies,
): void {
    log.info("sendFell", {
        requestId: admitted.caller.requestId,
        upstream: placement.upstream.record.id,
        failure,
        reason: result.kind === "failed" ? `status ${result.answer.status}` : result.reason,
        blames: result.kind === "short" ? result.blames : undefined,
        lastEventId,
        answeringMs: answeringMs === undefined ? undefined : Math.round(answeringMs),
        segments: segmentsForLog(admitted),
        predictedMs: Math.round(placement.predictedMs),
        load: Math.round(placement.upstream.load.estimate(timer.nowMs())),
        candidates: placement.candidates,
    });
}

/** Logs and counts an error of the program that a send met. */
export function logSendError(
    error: unknown,
    { caller: { requestId }, request }: AdmittedRequest,
    { upstream }: Placement,
    { context: { log, metrics } }: ExchangeDependencies,
): void {
    const origin = "send";
    metrics.unexpectedErrors.inc({ origin });
    log.error("unexpectedError", {
        origin,
        requestId,
        upstream: upstream.record.id,
        path: request.url,
        ...errorFields(error),
    });
}

const maxLoggedSegments = 8;

/** Undefined for requests without a prompt, so that their log lines have no empty list. */
export function segmentsForLog({ caller: { promptSegments } }: AdmittedRequest): readonly string[] | undefined {
    return promptSegments.length === 0 ? undefined : promptSegments.slice(0, maxLoggedSegments);
}
