/** Which headers pass between a caller and a plain service's upstream. */
import { hopHeaders } from "@rattanquay/schema";
import { type IncomingHttpHeaders } from "node:http";

/** Headers that are not passed on: they belong to one connection, or describe a body which is sent anew. */
const droppedHeaders: ReadonlySet<string> = new Set([...hopHeaders, "content-length", "expect", "host"]);

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
        if (value !== undefined && !droppedHeaders.has(name) && !own.has(name) && !named.has(name)) {
            passed[name] = value;
        }
    }
    return passed;
}
