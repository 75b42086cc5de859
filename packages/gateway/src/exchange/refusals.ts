/** Answers of the gateway's own: what went wrong, and whether the request may have run. */
import { type Ending } from "@rattanquay/schema";
import { type IncomingMessage, type ServerResponse } from "node:http";
import { type RequestWire } from "../ports";

/** Why a request got no upstream's answer. The statuses 408, 429 and 503 say that it has not run and never will. */
export const refusals = {
    noConfiguration: { status: 503, ending: "notRun", message: "No configuration is known here yet." },
    noUpstream: { status: 503, ending: "notRun", message: "No upstream serves this now." },
    overloaded: { status: 503, ending: "notRun", message: "It could not be served in time." },
    notRun: { status: 503, ending: "notRun", message: "Every upstream that was asked declined to run it." },
    unreadablePath: { status: 400, ending: "notRun", message: "The request's target cannot be passed on." },
    unknownKey: { status: 401, ending: "notRun", message: "The key is missing or unknown." },
    unknownRoute: { status: 404, ending: "notRun", message: "No route matches the host and path." },
    bodyTimeout: { status: 408, ending: "notRun", message: "The body did not arrive in time." },
    bodyTooLarge: { status: 413, ending: "notRun", message: "The body is larger than allowed." },
    unknownOutcome: { status: 502, ending: "unknown", message: "It may have run, and no whole answer came." },
    outOfTime: { status: 504, ending: "unknown", message: "No whole answer came in time; it may have run." },
} as const satisfies Record<string, { status: number; ending: Ending; message: string }>;

export type Refusal = keyof typeof refusals;

/** Statuses that name a time to come back. */
const temporary: ReadonlySet<number> = new Set([503]);

/** Ends the request with an answer of our own; an answer that has begun is broken off instead. */
export function refuse(
    response: ServerResponse,
    request: IncomingMessage,
    refusal: Refusal,
    wire: RequestWire,
    retryAfterMs: number,
): void {
    const { status, message } = refusals[refusal];
    if (response.headersSent) {
        breakOff(response);
        return;
    }
    const requestId = wire.readRequest(request).requestId;
    const headers = wire.ownHeaders(requestId, temporary.has(status) ? retryAfterMs : undefined);
    const body = JSON.stringify({ error: refusal, message });
    if (!request.complete) {
        // The rest of the body would be taken for the next request.
        response.shouldKeepAlive = false;
    }
    response.writeHead(status, [...headers, "content-length", String(Buffer.byteLength(body))]);
    response.end(body);
}

/** Ends an answer that has begun so that it cannot be taken for a whole one, however its end would be marked. */
function breakOff(response: ServerResponse): void {
    response.socket?.resetAndDestroy();
    response.destroy();
}
