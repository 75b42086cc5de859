/** Proves to an entry instance of another zone that a request was passed on by a peer. */
import { createHmac, timingSafeEqual } from "node:crypto";

export function proofOfSpill(secret: string, requestId: string, fromZone: string): string {
    return createHmac("sha256", secret).update(`spill\u0000${fromZone}\u0000${requestId}`).digest("hex");
}

type Marks = { readonly requestId: string; readonly fromZone: unknown; readonly proof: unknown };

/** Whether the marks of a request show that a peer has passed it on. */
export function isProvedSpill(secret: string, { requestId, fromZone, proof }: Marks): boolean {
    if (typeof fromZone !== "string" || typeof proof !== "string") {
        return false;
    }
    const [given, expected] = [Buffer.from(proof), Buffer.from(proofOfSpill(secret, requestId, fromZone))];
    return given.length === expected.length && timingSafeEqual(given, expected);
}
