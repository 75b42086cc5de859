/**
 * Parses one streamed chunk. This runs for every token.
 *
 * The checks of the `ChatChunk` schema are written by hand, because the schema takes more than half as long again as
 * parsing.
 */
import { type ChatChunk } from "@rattanquay/schema";

/** Returns `undefined` when the chunk is invalid. An attempt that sent an invalid chunk never counts as complete. */
export function parseChunk(data: string): ChatChunk | undefined {
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
