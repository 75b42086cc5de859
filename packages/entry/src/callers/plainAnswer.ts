/** Sends the result of a call to a plain service to the caller. */
import { type Exchange, type RequestOutcome, sendError } from "./exchange";
import { type PlainAnswer, type PlainResult } from "./plainAttempt";

/** The combined result of all attempts at a call. */
export type CallResult =
    | PlainResult
    | { readonly kind: "refused"; readonly code: "noReplica" | "overloaded"; readonly retryAfterMs: number }
    /** The caller disconnected before anything was sent. */
    | { readonly kind: "callerGone" };

const unreachedRetryAfterMs = 1_000;

const handlers: {
    readonly [K in CallResult["kind"]]: (
        result: Extract<CallResult, { readonly kind: K }>,
        exchange: Exchange,
    ) => RequestOutcome;
} = {
    answered: (answer, exchange) => sendAnswer(exchange, answer),
    refused: ({ code, retryAfterMs }, exchange) => sendError(exchange, code, { retryAfterMs }),
    unreached: (unusedResult, exchange) =>
        sendError(exchange, "upstreamUnreachable", { retryAfterMs: unreachedRetryAfterMs }),
    cut: (unusedResult, exchange) => sendError(exchange, "upstreamFailed"),
    timedOut: (unusedResult, exchange) => sendError(exchange, "upstreamTimeout"),
    callerGone: () => ({ ending: "notRun", code: "callerGone" }),
};

export function sendResult(exchange: Exchange, result: CallResult): RequestOutcome {
    return (handlers[result.kind] as (result: CallResult, exchange: Exchange) => RequestOutcome)(result, exchange);
}

function sendAnswer({ response }: Exchange, { status, headers, body }: PlainAnswer): RequestOutcome {
    response.writeHead(status, headers);
    response.end(body);
    return { ending: "answered", code: "ok" };
}
