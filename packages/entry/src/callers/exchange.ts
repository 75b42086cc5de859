/** One request and its response, with the data that every handler needs. */
import { type Snapshot } from "@rattanquay/core";
import { type HeldRequest } from "@rattanquay/peer";
import { type CallerError, callerErrors, type Ending, errorBody, headerNames } from "@rattanquay/schema";
import { type Span } from "@rattanquay/telemetry";
import { type IncomingMessage, type ServerResponse } from "node:http";
import { type Configuration } from "../config";
import { type ProcessContext } from "../processContext";
import { describeDecision } from "./decidedOn";

export type Exchange = {
    readonly requestId: string;
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    /** What the process holds for the request. */
    readonly held: HeldRequest;
    readonly path: string;
    readonly span: Span;
    readonly arrivedAtMs: number;
    /** The configuration that decides on the request; a newer one if something was missing in it. */
    snapshot: Snapshot;
    /** How old the snapshot was when it was read for the request. */
    configurationAge: ConfigurationAge;
    /** The service's name once it is known, for metrics and logs; `none` before. */
    service: string;
    /** The workspace of the key, once that is known. */
    workspace?: string;
    /** The service that the caller named, whether or not it is declared. */
    askedFor?: string;
    /** The size of a body that is too large: as announced, or as far as it was read. */
    bodyBytes?: number;
};

/** In milliseconds. */
export type ConfigurationAge = {
    /** For how long this process had had it. */
    readonly ageMs: number;
    /** How long ago the table had last answered that there is none newer; undefined if it never had. */
    readonly confirmedAgeMs: number | undefined;
};

export function ageOf(
    { confirmedByTable, confirmedAtMs, inForceSinceMs }: Configuration,
    nowMs: number,
): ConfigurationAge {
    return {
        ageMs: Math.round(nowMs - inForceSinceMs),
        confirmedAgeMs: confirmedByTable ? Math.round(nowMs - confirmedAtMs) : undefined,
    };
}

/** How a request ended. Each request has exactly one outcome. */
export type RequestOutcome = { readonly ending: Ending; readonly code: string };

/** Sends an error in the format that all callers get, and returns the matching outcome. */
export function sendError(
    exchange: Exchange,
    code: CallerError,
    extra: { readonly retryAfterMs?: number; readonly detail?: string } = {},
): RequestOutcome {
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

/** Writes the log line and the metrics of a finished request, and ends its span. */
export function recordOutcome(exchange: Exchange, outcome: RequestOutcome, processContext: ProcessContext): void {
    const { log, metrics, timer, settings } = processContext;
    const { requestId, span, service, path, arrivedAtMs } = exchange;
    metrics.requests.inc({ service, ending: outcome.ending, code: outcome.code });
    span.setAttributes({ service, ending: outcome.ending, code: outcome.code, requestId });
    span.end();
    log.info("requestEnded", {
        requestId,
        traceId: span.spanContext().traceId,
        service,
        path,
        ...outcome,
        durationMs: Math.round(timer.nowMs() - arrivedAtMs),
        decidedOn: describeDecision(exchange, settings.limits.maxBodyBytes),
    });
}
