/** The text that a stand-in engine generates: a function of prompt and position, so that tests can check any answer. */
import { createHash } from "node:crypto";

/** The token at `index` of the answer to the prompt with this hash. */
export function tokenAt(promptHash: string, index: number): string {
    return `${promptHash.slice(0, 6)}.${index} `;
}

export function hashPrompt(messages: unknown): string {
    return createHash("sha256").update(JSON.stringify(messages)).digest("hex");
}

/** The complete answer that an engine gives to these messages. */
export function expectedText(messages: unknown, length: number): string {
    const hash = hashPrompt(messages);
    return Array.from({ length }, (unused, index) => tokenAt(hash, index)).join("");
}
