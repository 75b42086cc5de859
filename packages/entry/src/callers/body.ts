/** Reading a request's body within its bounds of size and time. */
import { type CallerError } from "@rattanquay/schema";
import { type Timer } from "@rattanquay/timer";
import { type IncomingMessage } from "node:http";

export type Body =
    | { readonly kind: "read"; readonly bytes: Buffer }
    | { readonly kind: "failed"; readonly code: Extract<CallerError, "bodyTooLarge" | "requestTimeout"> }
    | { readonly kind: "gone" };

type Bounds = { readonly maxBodyBytes: number; readonly requestReadTimeoutMs: number };

export function readBody(request: IncomingMessage, bounds: Bounds, timer: Timer): Promise<Body> {
    return new Promise(resolve => {
        const chunks: Buffer[] = [];
        let size = 0;
        const finish = (body: Body): void => {
            cancel();
            request.removeAllListeners("data");
            resolve(body);
        };
        const cancel = timer.after(
            bounds.requestReadTimeoutMs,
            () => finish({ kind: "failed", code: "requestTimeout" }),
        );
        request.on("data", (chunk: Buffer) => {
            size += chunk.length;
            if (size > bounds.maxBodyBytes) {
                finish({ kind: "failed", code: "bodyTooLarge" });
                return;
            }
            chunks.push(chunk);
        });
        request.on("end", () => finish({ kind: "read", bytes: Buffer.concat(chunks) }));
        request.on("error", () => finish({ kind: "gone" }));
        request.on("close", () => finish({ kind: "gone" }));
    });
}

/** Parses JSON; `undefined` when it is none. */
export function parseJson(text: string): { readonly value: unknown } | undefined {
    try {
        return { value: JSON.parse(text) };
    }
    catch {
        return undefined;
    }
}
