/**
 * Reading one streamed chunk, on the path that every token takes.
 *
 * The checks are those of the `ChatChunk` schema, written out, as the schema takes more than half as long again as parsing.
 */
import { type ChatChunk } from "@rattanquay/schema";

/** The chunk, or nothing when it cannot be read: an attempt that sent such a chunk is never whole. */
export function readChunk(data: string): ChatChunk | undefined {
    try {
        const value: unknown = JSON.parse(data);
        return isChunk(value) ? value : undefined;
    }
    catch {
        return undefined;
    }
}

const isObject = (value: unknown): value is Record<string, unknown> =>
    typeof value === "object" && value !== null && !Array.isArray(value);

const isOptionalText = (value: unknown): boolean => value === undefined || typeof value === "string";

function isChunk(value: unknown): value is ChatChunk {
    return isObject(value) && Array.isArray(value.choices) && value.choices.every(isChoice);
}

function isChoice(value: unknown): boolean {
    if (!isObject(value) || !isObject(value.delta)) {
        return false;
    }
    const { finish_reason: finishReason, delta } = value;
    return isOptionalText(delta.content) && (finishReason === null || isOptionalText(finishReason));
}
