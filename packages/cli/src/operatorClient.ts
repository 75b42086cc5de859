/** HTTP client for the operator listener of an entry instance. */
import { readFileSync } from "node:fs";
import { request as httpRequest, type RequestOptions } from "node:http";
import { request as httpsRequest } from "node:https";
import { parseArgs } from "node:util";

const callTimeoutMs = 15_000;

/** Options shared by all commands that call an entry instance. */
export const operatorOptions = {
    endpoint: { type: "string" },
    ca: { type: "string" },
    cert: { type: "string" },
    "cert-key": { type: "string" },
    json: { type: "boolean", default: false },
} as const;

/** Usage text of `operatorOptions`. */
export const operatorUsage = "[--endpoint URL] [--ca FILE] [--cert FILE --cert-key FILE] [--json]";

/** URL of the operator listener, and the TLS files for server and client authentication. */
export type Connection = {
    readonly endpoint?: string | undefined;
    readonly ca?: string | undefined;
    readonly cert?: string | undefined;
    readonly "cert-key"?: string | undefined;
};

export type OperatorResponse =
    | { readonly kind: "answered"; readonly status: number; readonly body: unknown }
    | { readonly kind: "unreachable"; readonly message: string };

/** Parses positional arguments and `operatorOptions`. */
export function parseOperatorArgs(args: readonly string[]) {
    const { values, positionals } = parseArgs({ args: [...args], options: operatorOptions, allowPositionals: true });
    return { connection: values as Connection, json: values.json, positionals };
}

/**
 * Sends a GET, or a POST if there is a body, to `path`.
 *
 * The endpoint is `--endpoint` or else RATTANQUAY_ENDPOINT; the key is RATTANQUAY_OPERATOR_KEY.
 */
export async function callOperator(connection: Connection, path: string, body?: unknown): Promise<OperatorResponse> {
    const base = connection.endpoint ?? process.env.RATTANQUAY_ENDPOINT;
    const key = process.env.RATTANQUAY_OPERATOR_KEY;
    if (base === undefined || key === undefined) {
        throw new Error("Give --endpoint URL (or set RATTANQUAY_ENDPOINT) and set RATTANQUAY_OPERATOR_KEY.");
    }
    const url = new URL(path, base);
    const options: RequestOptions = {
        method: body === undefined ? "GET" : "POST",
        headers: { authorization: `Bearer ${key}`, "content-type": "application/json" },
        signal: AbortSignal.timeout(callTimeoutMs),
        agent: false,
        ...tlsFiles(connection),
    };
    try {
        const { status, text } = await sendRequest(url, options, body === undefined ? "" : JSON.stringify(body));
        return { kind: "answered", status, body: JSON.parse(text) };
    }
    catch (error) {
        return { kind: "unreachable", message: `${base} does not answer: ${(error as Error).message}` };
    }
}

function tlsFiles(connection: Connection) {
    const { ca, cert, "cert-key": key } = connection;
    return {
        ...(ca === undefined ? {} : { ca: readFileSync(ca) }),
        ...(cert === undefined ? {} : { cert: readFileSync(cert) }),
        ...(key === undefined ? {} : { key: readFileSync(key) }),
    };
}

type HttpResponse = { readonly status: number; readonly text: string };

function sendRequest(url: URL, options: RequestOptions, body: string): Promise<HttpResponse> {
    const makeRequest = url.protocol === "https:" ? httpsRequest : httpRequest;
    return new Promise((resolve, reject) => {
        const request = makeRequest(url, options, response => {
            let text = "";
            response.setEncoding("utf8");
            response.on("data", (chunk: string) => text += chunk);
            response.on("error", reject);
            response.on("end", () => resolve({ status: response.statusCode ?? 0, text }));
        });
        request.on("error", reject);
        request.end(body);
    });
}
