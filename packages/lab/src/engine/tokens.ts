/** The text that a stand-in engine generates: a function of prompt and position, so that any answer can be checked. */
import { createHash } from "node:crypto";

/** The token at `index` of the answer to `prompt`. */
export function tokenAt(promptHash: string, index: number): string {
    return `${promptHash.slice(0, 6)}.${index} `;
}

export function hashPrompt(messages: unknown): string {
    return createHash("sha256").update(JSON.stringify(messages)).digest("hex");
}

/** The whole answer that an engine owes for these messages. */
export function expectedText(messages: unknown, length: number): string {
    const hash = hashPrompt(messages);
    return Array.from({ length }, (unused, index) => tokenAt(hash, index)).join("");
}
