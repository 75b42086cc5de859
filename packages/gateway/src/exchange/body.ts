/** Reads a request body, limited in size and time. */
import { makeByteCollector } from "@rattanquay/peer";
import { type Timer } from "@rattanquay/timer";
import { type IncomingMessage } from "node:http";

export type Body =
    | { readonly kind: "read"; readonly bytes: Buffer }
    | { readonly kind: "tooLarge" }
    | { readonly kind: "late" }
    /** The caller closed the connection. */
    | { readonly kind: "gone" };

export function readBody(request: IncomingMessage, maxBytes: number, limitMs: number, timer: Timer): Promise<Body> {
    return new Promise(resolve => {
        const body = makeByteCollector();
        const finish = (end: Body): void => {
            cancel();
            resolve(end);
        };
        const cancel = timer.after(limitMs, () => finish({ kind: "late" }));
        request.on("data", (chunk: Buffer) => {
            if (body.size() + chunk.length > maxBytes) {
                finish({ kind: "tooLarge" });
                return;
            }
            body.push(chunk);
        });
        request.on("end", () => finish({ kind: "read", bytes: body.take() }));
        request.on("error", () => finish({ kind: "gone" }));
        request.on("close", () => finish({ kind: "gone" }));
    });
}
