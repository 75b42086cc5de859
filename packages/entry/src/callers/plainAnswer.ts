/** What a caller is told of a call to a plain service. */
import { type Conclusion, type Exchange, refuse } from "./exchange";
import { type PlainAnswer, type PlainResult } from "./plainAttempt";

/** How the attempts at a call ended, all together. */
export type Tried =
    | PlainResult
    | { readonly kind: "refused"; readonly code: "noReplica" | "overloaded"; readonly retryAfterMs: number }
    /** The caller left before anything was sent. */
    | { readonly kind: "callerGone" };

const unreachedRetryAfterMs = 1_000;

const handlers: {
    readonly [K in Tried["kind"]]: (tried: Extract<Tried, { readonly kind: K }>, exchange: Exchange) => Conclusion;
} = {
    answered: (answer, exchange) => sendAnswer(exchange, answer),
    refused: ({ code, retryAfterMs }, exchange) => refuse(exchange, code, { retryAfterMs }),
    unreached: (unusedTried, exchange) =>
        refuse(exchange, "upstreamUnreachable", { retryAfterMs: unreachedRetryAfterMs }),
    cut: (unusedTried, exchange) => refuse(exchange, "upstreamFailed"),
    timedOut: (unusedTried, exchange) => refuse(exchange, "upstreamTimeout"),
    callerGone: () => ({ ending: "notRun", code: "callerGone" }),
};

export function answerPlain(exchange: Exchange, tried: Tried): Conclusion {
    return (handlers[tried.kind] as (tried: Tried, exchange: Exchange) => Conclusion)(tried, exchange);
}

function sendAnswer({ response }: Exchange, { status, headers, body }: PlainAnswer): Conclusion {
    response.writeHead(status, headers);
    response.end(body);
    return { ending: "answered", code: "ok" };
}
