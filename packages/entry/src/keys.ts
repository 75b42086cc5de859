/** Keys are compared by hash only; the keys themselves are never declared or kept. */
import { createHash } from "node:crypto";

/** SHA-256 of a key in hexadecimal, as it is declared in tickets and settings. */
export function hashKey(key: string): string {
    return createHash("sha256").update(key).digest("hex");
}

/** The key of an `Authorization: Bearer KEY` header. */
export function bearerKey(header: string | undefined): string | undefined {
    return /^Bearer\s+(\S+)$/i.exec(header ?? "")?.[1];
}
