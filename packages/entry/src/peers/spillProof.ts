/** Proves to an entry instance in another zone that a request was forwarded by a peer (HMAC with the shared secret). */
import { createHmac, timingSafeEqual } from "node:crypto";

export function makeSpillProof(secret: string, requestId: string, fromZone: string): string {
    return createHmac("sha256", secret).update(`spill\u0000${fromZone}\u0000${requestId}`).digest("hex");
}

type SpillHeaders = { readonly requestId: string; readonly fromZone: unknown; readonly proof: unknown };

/** Whether the headers of a request prove that a peer has forwarded it. */
export function isValidSpillProof(secret: string, { requestId, fromZone, proof }: SpillHeaders): boolean {
    if (typeof fromZone !== "string" || typeof proof !== "string") {
        return false;
    }
    const [given, expected] = [Buffer.from(proof), Buffer.from(makeSpillProof(secret, requestId, fromZone))];
    return given.length === expected.length && timingSafeEqual(given, expected);
}
