/** One request and its answer, with what every handler needs to know of it. */
import { type Snapshot } from "@rattanquay/core";
import { type CallerError, callerErrors, type Ending, errorBody, headerNames } from "@rattanquay/schema";
import { type Span } from "@rattanquay/telemetry";
import { type IncomingMessage, type ServerResponse } from "node:http";
import { type Surroundings } from "../surroundings";

export type Exchange = {
    readonly requestId: string;
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly path: string;
    readonly span: Span;
    readonly arrivedAtMs: number;
    readonly snapshot: Snapshot;
    /** Notes the service once it is known, for metrics and logs. */
    service: string;
};

/** Records how a request ended: exactly once for each request. */
export type Conclusion = { readonly ending: Ending; readonly code: string };

/** Answers with an error in the callers' usual shape. */
export function refuse(
    exchange: Exchange,
    code: CallerError,
    extra: { readonly retryAfterMs?: number; readonly detail?: string } = {},
): Conclusion {
    const { response, requestId } = exchange;
    const { status, ending } = callerErrors[code];
    if (!response.headersSent) {
        response.writeHead(status, {
            "content-type": "application/json",
            [headerNames.outcome]: ending,
            ...(extra.retryAfterMs === undefined
                ? {}
                : { "retry-after": String(Math.ceil(extra.retryAfterMs / 1_000)) }),
        });
    }
    response.end(errorBody(code, requestId, extra.detail));
    return { ending, code };
}

/** Writes the log line, the metrics and the end of the span of a finished request. */
export function conclude(exchange: Exchange, conclusion: Conclusion, surroundings: Surroundings): void {
    const { log, metrics, timer } = surroundings;
    const { requestId, span, service, path, arrivedAtMs } = exchange;
    metrics.requests.inc({ service, ending: conclusion.ending, code: conclusion.code });
    span.setAttributes({ service, ending: conclusion.ending, code: conclusion.code, requestId });
    span.end();
    log.info("requestEnded", {
        requestId,
        traceId: span.spanContext().traceId,
        service,
        path,
        ...conclusion,
        durationMs: Math.round(timer.nowMs() - arrivedAtMs),
    });
}
