/** Reads and validates hand-written JSON files. Each fault is reported with its line and key. */
import { check } from "@rattanquay/schema";
import { findNodeAtLocation, type Node, type ParseError, parseTree, printParseErrorCode } from "jsonc-parser";
import { readFileSync } from "node:fs";
import { type z } from "zod";

/** A fault in a file. Lines count from 1; a fault of the whole file has no line. */
export type FileFault = { readonly line?: number; readonly key?: string; readonly message: string };

export type JsonFile<T> =
    | { readonly kind: "valid"; readonly value: T }
    | { readonly kind: "invalid"; readonly faults: readonly FileFault[]; readonly message: string };

/** Reads a file and validates it against `schema`. The message lists file, line, key and what was expected. */
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
    const duplicates = duplicateKeys(text, root);
    if (duplicates.length > 0) {
        return invalid(file, duplicates);
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

type TextFile = { readonly kind: "read"; readonly text: string } | { readonly kind: "failed"; readonly reason: string };

function readText(file: string): TextFile {
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

/** Finds duplicate keys within an object; `JSON.parse` would silently keep the last one. */
function duplicateKeys(text: string, node: Node): readonly FileFault[] {
    const children = node.children ?? [];
    const seenNames = new Set<unknown>();
    const ownDuplicates = node.type !== "object" ? [] : children.flatMap(property => {
        const name = property.children?.[0];
        const isDuplicate = seenNames.has(name?.value);
        seenNames.add(name?.value);
        return isDuplicate
            ? [{ line: lineAt(text, property.offset), key: String(name?.value), message: "this key stands twice" }]
            : [];
    });
    return [...ownDuplicates, ...children.flatMap(child => duplicateKeys(text, child))];
}

/** Offset of the value at `steps` or of its key; for a missing one, the offset of the closest parent that exists. */
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
