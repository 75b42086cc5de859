/** Reading a JSON file that a person wrote: every fault is told with its line and its key. */
import { check } from "@rattanquay/schema";
import { findNodeAtLocation, type Node, type ParseError, parseTree, printParseErrorCode } from "jsonc-parser";
import { readFileSync } from "node:fs";
import { type z } from "zod";

/** A fault in a file; lines count from 1. Faults of the file as a whole have no line. */
export type FileFault = { readonly line?: number; readonly key?: string; readonly message: string };

export type JsonFile<T> =
    | { readonly kind: "valid"; readonly value: T }
    | { readonly kind: "invalid"; readonly faults: readonly FileFault[]; readonly message: string };

/** Reads and checks a file; the message names the file, the line, the key and what would do. */
export function readJsonFile<S extends z.ZodType>(file: string, schema: S): JsonFile<z.infer<S>> {
    const read = readText(file);
    if (read.kind === "failed") {
        return invalid(file, [{ message: `cannot be read: ${read.reason}` }]);
    }
    const { text } = read;
    const errors: ParseError[] = [];
    const root = parseTree(text, errors, { disallowComments: true, allowTrailingComma: false });
    if (root === undefined || errors.length > 0) {
        return invalid(file, syntaxFaults(text, errors));
    }
    const repeated = repeatedKeys(text, root);
    if (repeated.length > 0) {
        return invalid(file, repeated);
    }
    const checked = check(schema, JSON.parse(text));
    if (checked.kind === "valid") {
        return checked;
    }
    const faults = checked.faults.map(({ path, steps, message }): FileFault => ({
        line: lineAt(text, offsetOf(root, steps)),
        key: path,
        message,
    }));
    return invalid(file, faults);
}

type Text = { readonly kind: "read"; readonly text: string } | { readonly kind: "failed"; readonly reason: string };

function readText(file: string): Text {
    try {
        return { kind: "read", text: readFileSync(file, "utf8") };
    }
    catch (error) {
        return { kind: "failed", reason: (error as Error).message };
    }
}

function invalid(file: string, faults: readonly FileFault[]): Extract<JsonFile<never>, { readonly kind: "invalid" }> {
    const lines = faults.map(({ line, key, message }) =>
        [line === undefined ? file : `${file}:${line}`, key, message].filter(part => part !== undefined).join(": ")
    );
    return { kind: "invalid", faults, message: lines.join("\n") };
}

function syntaxFaults(text: string, errors: readonly ParseError[]): readonly FileFault[] {
    const [first] = errors;
    return first === undefined
        ? [{ message: "is empty; expected a JSON object" }]
        : [{ line: lineAt(text, first.offset), message: `not valid JSON: ${printParseErrorCode(first.error)}` }];
}

/** Keys that stand twice in one object: JSON would silently keep the last. */
function repeatedKeys(text: string, node: Node): readonly FileFault[] {
    const children = node.children ?? [];
    const seen = new Set<unknown>();
    const here = node.type !== "object" ? [] : children.flatMap(property => {
        const name = property.children?.[0];
        const again = seen.has(name?.value);
        seen.add(name?.value);
        return again
            ? [{ line: lineAt(text, property.offset), key: String(name?.value), message: "this key stands twice" }]
            : [];
    });
    return [...here, ...children.flatMap(child => repeatedKeys(text, child))];
}

/** Where a key stands; for a key that is missing, where the object stands that lacks it. */
function offsetOf(root: Node, steps: readonly (string | number)[]): number {
    const node = findNodeAtLocation(root, [...steps]);
    if (node === undefined) {
        return steps.length === 0 ? root.offset : offsetOf(root, steps.slice(0, -1));
    }
    return node.parent?.type === "property" ? node.parent.offset : node.offset;
}

function lineAt(text: string, offset: number): number {
    return text.slice(0, offset).split("\n").length;
}
