/** Selects the headers that are forwarded between a caller and a plain service's upstream. */
import { hopByHopHeaders } from "@rattanquay/schema";
import { type IncomingHttpHeaders } from "node:http";

/** Headers that are never forwarded: they apply to one connection, or describe a body that is sent again. */
const neverForwarded: ReadonlySet<string> = new Set([...hopByHopHeaders, "content-length", "expect", "host"]);

/** Upstreams must not see the workspace's key, and trace headers are replaced by those of the entry instance's span. */
const entryRequestHeaders = new Set(["authorization", "traceparent", "tracestate"]);

const entryResponseHeaders = new Set(["x-request-id", "x-outcome"]);

type Headers = Readonly<Record<string, string | string[]>>;

export function headersToUpstream(headers: IncomingHttpHeaders): Headers {
    return forward(headers, entryRequestHeaders);
}

export function headersToCaller(headers: IncomingHttpHeaders): Headers {
    return forward(headers, entryResponseHeaders);
}

function forward(headers: IncomingHttpHeaders, entryHeaders: ReadonlySet<string>): Headers {
    const listedInConnection = new Set((headers.connection ?? "").toLowerCase().split(",").map(name => name.trim()));
    const forwarded: Record<string, string | string[]> = {};
    for (const [name, value] of Object.entries(headers)) {
        if (
            value !== undefined && !neverForwarded.has(name) && !entryHeaders.has(name) && !listedInConnection.has(name)
        ) {
            forwarded[name] = value;
        }
    }
    return forwarded;
}
