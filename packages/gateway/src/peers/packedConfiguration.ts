/**
 * The configuration as peers send it to each other: compressed JSON. A relay sends each version to all processes of its
 * zone, over links that carry requests at the same time, so it is packed once a version.
 */
import { type Checked, checkValue, ServingConfig } from "@rattanquay/schema";
import { gunzipSync, gzipSync } from "node:zlib";

/** Compresses routes, which differ in few places, to a fraction at the least cost of processor time. */
const compressionLevel = 1;
/** Several times the largest configuration that the store takes. */
const maxUnpackedBytes = 33_554_432;

const packedByConfiguration = new WeakMap<ServingConfig, Uint8Array>();

export function packConfiguration(config: ServingConfig): Uint8Array {
    const known = packedByConfiguration.get(config);
    if (known !== undefined) {
        return known;
    }
    const packed = gzipSync(JSON.stringify(config), { level: compressionLevel });
    packedByConfiguration.set(config, packed);
    return packed;
}

export function unpackConfiguration(packed: Uint8Array): Checked<ServingConfig> {
    try {
        const text = gunzipSync(packed, { maxOutputLength: maxUnpackedBytes }).toString("utf8");
        return checkValue(ServingConfig, JSON.parse(text));
    }
    catch (error) {
        return { kind: "unusable", reason: error instanceof SyntaxError ? "no JSON" : "no compressed text" };
    }
}
