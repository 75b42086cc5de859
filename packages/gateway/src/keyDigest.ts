/** Short digests of callers' keys, by which log lines name them. */
import { createHash } from "node:crypto";

/** Enough to tell the keys of one configuration apart, and too little to find a key by. */
const digestLength = 8;

/** Returns the first hexadecimal digits of a key's SHA-256. */
export function digestKey(key: string): string {
    return createHash("sha256").update(key).digest("hex").slice(0, digestLength);
}
