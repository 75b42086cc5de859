/** Reading a request's body within its bounds of size and time. */
import { type Timer } from "@rattanquay/timer";
import { type IncomingMessage } from "node:http";

export type Body =
    | { readonly kind: "read"; readonly bytes: Buffer }
    | { readonly kind: "tooLarge" }
    | { readonly kind: "late" }
    /** The caller left. */
    | { readonly kind: "gone" };

export type BodyBounds = { readonly maxBytes: number; readonly timeoutMs: number };

export function readBody(
    request: IncomingMessage,
    { maxBytes, timeoutMs }: BodyBounds,
    timer: Timer,
): Promise<Body> {
    return new Promise(resolve => {
        const chunks: Buffer[] = [];
        let size = 0;
        const finish = (body: Body): void => {
            cancel();
            // What still comes of a body that is given up is not kept.
            request.removeAllListeners("data");
            resolve(body);
        };
        const cancel = timer.after(timeoutMs, () => finish({ kind: "late" }));
        request.on("data", (chunk: Buffer) => {
            size += chunk.length;
            if (size > maxBytes) {
                finish({ kind: "tooLarge" });
                return;
            }
            chunks.push(chunk);
        });
        request.on("end", () => finish({ kind: "read", bytes: Buffer.concat(chunks) }));
        request.on("error", () => finish({ kind: "gone" }));
        request.on("close", () => finish({ kind: "gone" }));
    });
}
