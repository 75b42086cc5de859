/** Reads a request's body, limited in size, in time and by the memory of the process. */
import { type TextBody, type WholeBody } from "@rattanquay/peer";
import { type CallerError, type Settings } from "@rattanquay/schema";
import { type Exchange } from "./exchange";

type FailedBody =
    | { readonly kind: "failed"; readonly code: Extract<CallerError, "bodyTooLarge" | "requestTimeout" | "busy"> }
    | { readonly kind: "callerGone" };

export type BodyResult = FailedBody | { readonly kind: "read"; readonly bytes: Buffer };
export type TextResult = FailedBody | { readonly kind: "read"; readonly text: string };

const results = {
    tooLarge: { kind: "failed", code: "bodyTooLarge" },
    late: { kind: "failed", code: "requestTimeout" },
    busy: { kind: "failed", code: "busy" },
    gone: { kind: "callerGone" },
} as const satisfies Record<Exclude<WholeBody["kind"], "read">, FailedBody>;

export async function readBody(
    exchange: Exchange,
    { maxBodyBytes, requestReadTimeoutMs }: Settings["limits"],
): Promise<BodyResult> {
    const body: WholeBody = await exchange.held.readWhole({ maxBytes: maxBodyBytes, limitMs: requestReadTimeoutMs });
    return body.kind === "read" ? body : failedBody(exchange, body);
}

export async function readText(
    exchange: Exchange,
    { maxBodyBytes, requestReadTimeoutMs }: Settings["limits"],
): Promise<TextResult> {
    const body: TextBody = await exchange.held.readText({ maxBytes: maxBodyBytes, limitMs: requestReadTimeoutMs });
    return body.kind === "read" ? body : failedBody(exchange, body);
}

function failedBody(exchange: Exchange, body: Exclude<WholeBody, { readonly kind: "read" }>): FailedBody {
    if (body.kind === "tooLarge") {
        exchange.bodyBytes = body.bytes;
    }
    return results[body.kind];
}

/** Parses JSON; returns `undefined` when `text` is not valid JSON. */
export function parseJson(text: string): { readonly value: unknown } | undefined {
    try {
        return { value: JSON.parse(text) };
    }
    catch {
        return undefined;
    }
}
