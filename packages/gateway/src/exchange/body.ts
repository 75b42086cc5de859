/** Reads a request body, limited in size and time. */
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
        const chunks: Buffer[] = [];
        let size = 0;
        const finish = (body: Body): void => {
            cancel();
            resolve(body);
        };
        const cancel = timer.after(limitMs, () => finish({ kind: "late" }));
        request.on("data", (chunk: Buffer) => {
            size += chunk.length;
            if (size > maxBytes) {
                finish({ kind: "tooLarge" });
                return;
            }
            chunks.push(chunk);
        });
        request.on(
            "end",
            () => finish({ kind: "read", bytes: chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks) }),
        );
        request.on("error", () => finish({ kind: "gone" }));
        request.on("close", () => finish({ kind: "gone" }));
    });
}
