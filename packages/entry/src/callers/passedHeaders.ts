/** Which headers pass between a caller and a plain service's upstream. */
import { type IncomingHttpHeaders } from "node:http";

/** Headers that belong to one connection (RFC 9110, 7.6.1), or that describe a body which is sent anew. */
const hopHeaders = new Set([
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
]);

/** The workspace's key is the entry instance's to check and no upstream's to know; traces are continued, not copied. */
const ownRequestHeaders = new Set(["authorization", "traceparent", "tracestate"]);

const ownAnswerHeaders = new Set(["x-request-id", "x-outcome"]);

type Headers = Readonly<Record<string, string | string[]>>;

export function headersToUpstream(headers: IncomingHttpHeaders): Headers {
    return pass(headers, ownRequestHeaders);
}

export function headersToCaller(headers: IncomingHttpHeaders): Headers {
    return pass(headers, ownAnswerHeaders);
}

function pass(headers: IncomingHttpHeaders, own: ReadonlySet<string>): Headers {
    const named = new Set((headers.connection ?? "").toLowerCase().split(",").map(name => name.trim()));
    const passed: Record<string, string | string[]> = {};
    for (const [name, value] of Object.entries(headers)) {
        if (value !== undefined && !hopHeaders.has(name) && !own.has(name) && !named.has(name)) {
            passed[name] = value;
        }
    }
    return passed;
}
