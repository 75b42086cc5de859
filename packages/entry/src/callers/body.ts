/** Reads a request's body, limited in size and time. */
import { type CallerError } from "@rattanquay/schema";
import { type Timer } from "@rattanquay/timer";
import { type IncomingMessage } from "node:http";

export type BodyResult =
    | { readonly kind: "read"; readonly bytes: Buffer }
    | { readonly kind: "failed"; readonly code: Extract<CallerError, "bodyTooLarge" | "requestTimeout"> }
    | { readonly kind: "callerGone" };

type BodyLimits = { readonly maxBodyBytes: number; readonly requestReadTimeoutMs: number };

export function readBody(request: IncomingMessage, limits: BodyLimits, timer: Timer): Promise<BodyResult> {
    return new Promise(resolve => {
        const chunks: Buffer[] = [];
        let size = 0;
        const finish = (result: BodyResult): void => {
            cancel();
            request.removeAllListeners("data");
            resolve(result);
        };
        const cancel = timer.after(
            limits.requestReadTimeoutMs,
            () => finish({ kind: "failed", code: "requestTimeout" }),
        );
        request.on("data", (chunk: Buffer) => {
            size += chunk.length;
            if (size > limits.maxBodyBytes) {
                finish({ kind: "failed", code: "bodyTooLarge" });
                return;
            }
            chunks.push(chunk);
        });
        request.on("end", () => finish({ kind: "read", bytes: Buffer.concat(chunks) }));
        request.on("error", () => finish({ kind: "callerGone" }));
        request.on("close", () => finish({ kind: "callerGone" }));
    });
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
