/** Hashing and parsing of API keys. Only hashes are stored and compared, never the keys themselves. */
import { createHash } from "node:crypto";

/** The SHA-256 of a key in hexadecimal, as tickets and settings contain it. */
export function hashKey(key: string): string {
    return createHash("sha256").update(key).digest("hex");
}

/** The key of an `Authorization: Bearer KEY` header. */
export function parseBearerKey(header: string | undefined): string | undefined {
    return /^Bearer\s+(\S+)$/i.exec(header ?? "")?.[1];
}
