/** Calls an entry instance's operator listener. */
import { readFileSync } from "node:fs";
import { request as httpRequest, type RequestOptions } from "node:http";
import { request as httpsRequest } from "node:https";
import { parseArgs } from "node:util";

const callTimeoutMs = 15_000;

/** Options that every command has that talks to an entry instance. */
export const operatorOptions = {
    endpoint: { type: "string" },
    ca: { type: "string" },
    cert: { type: "string" },
    "cert-key": { type: "string" },
    json: { type: "boolean", default: false },
} as const;

/** The part of a command's usage that stands for `operatorOptions`. */
export const operatorUsage = "[--endpoint URL] [--ca FILE] [--cert FILE --cert-key FILE] [--json]";

/** Where the operator listener is, and by which files both ends prove themselves when it speaks TLS. */
export type Connection = {
    readonly endpoint?: string | undefined;
    readonly ca?: string | undefined;
    readonly cert?: string | undefined;
    readonly "cert-key"?: string | undefined;
};

export type OperatorAnswer =
    | { readonly kind: "answered"; readonly status: number; readonly body: unknown }
    | { readonly kind: "unreachable"; readonly message: string };

/** Parses options, with those of `operatorOptions` among them. */
export function parseOperatorArgs(args: readonly string[]) {
    const { values, positionals } = parseArgs({ args: [...args], options: operatorOptions, allowPositionals: true });
    return { connection: values as Connection, json: values.json, positionals };
}

/** Calls `path`; endpoint and key come from the option or from RATTANQUAY_ENDPOINT and RATTANQUAY_OPERATOR_KEY. */
export async function callOperator(connection: Connection, path: string, body?: unknown): Promise<OperatorAnswer> {
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
        const { status, text } = await exchange(url, options, body === undefined ? "" : JSON.stringify(body));
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

type Exchanged = { readonly status: number; readonly text: string };

function exchange(url: URL, options: RequestOptions, body: string): Promise<Exchanged> {
    const start = url.protocol === "https:" ? httpsRequest : httpRequest;
    return new Promise((resolve, reject) => {
        const request = start(url, options, response => {
            let text = "";
            response.setEncoding("utf8");
            response.on("data", (part: string) => text += part);
            response.on("error", reject);
            response.on("end", () => resolve({ status: response.statusCode ?? 0, text }));
        });
        request.on("error", reject);
        request.end(body);
    });
}
