/** Calls an entry instance's operator listener. */
import { parseArgs } from "node:util";

const callTimeoutMs = 15_000;

/** Options that every command has that talks to an entry instance. */
export const operatorOptions = {
    endpoint: { type: "string" },
    json: { type: "boolean", default: false },
} as const;

export type OperatorAnswer =
    | { readonly kind: "answered"; readonly status: number; readonly body: unknown }
    | { readonly kind: "unreachable"; readonly message: string };

/** Parses options, with those of `operatorOptions` among them. */
export function parseOperatorArgs(args: readonly string[]) {
    const { values, positionals } = parseArgs({ args: [...args], options: operatorOptions, allowPositionals: true });
    return { endpoint: values.endpoint, json: values.json, positionals };
}

/** Calls `path`; endpoint and key come from the option or from RATTANQUAY_ENDPOINT and RATTANQUAY_OPERATOR_KEY. */
export async function callOperator(
    endpoint: string | undefined,
    path: string,
    body?: unknown,
): Promise<OperatorAnswer> {
    const base = endpoint ?? process.env.RATTANQUAY_ENDPOINT;
    const key = process.env.RATTANQUAY_OPERATOR_KEY;
    if (base === undefined || key === undefined) {
        throw new Error("Give --endpoint URL (or set RATTANQUAY_ENDPOINT) and set RATTANQUAY_OPERATOR_KEY.");
    }
    try {
        const response = await fetch(new URL(path, base), {
            method: body === undefined ? "GET" : "POST",
            headers: { authorization: `Bearer ${key}`, "content-type": "application/json" },
            signal: AbortSignal.timeout(callTimeoutMs),
            ...(body === undefined ? {} : { body: JSON.stringify(body) }),
        });
        return { kind: "answered", status: response.status, body: await response.json() };
    }
    catch (error) {
        return { kind: "unreachable", message: `${base} does not answer: ${(error as Error).message}` };
    }
}
