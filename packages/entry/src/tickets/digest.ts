import { createHash } from "node:crypto";

/** SHA-256 of a value's JSON with sorted keys, so that the order of keys in a file does not matter. */
export function digestOf(value: unknown): string {
    return createHash("sha256").update(JSON.stringify(sortKeys(value))).digest("hex");
}

function sortKeys(value: unknown): unknown {
    if (Array.isArray(value)) {
        return value.map(sortKeys);
    }
    if (typeof value !== "object" || value === null) {
        return value;
    }
    return Object.fromEntries(
        Object.entries(value).sort(([a], [b]) => a < b ? -1 : 1).map(([key, inner]) => [key, sortKeys(inner)]),
    );
}
