/** Validates a value against a schema and describes each fault for the person who has to fix it. */
import { type z } from "zod";

/** One fault in an input: the key's path, as text and as a list of keys, what was found there and what is expected. */
export type ValidationFault = {
    readonly path: string;
    readonly steps: readonly (string | number)[];
    readonly message: string;
};

/** The result of validating an input from outside the system. */
export type ValidationResult<T> =
    | { readonly kind: "valid"; readonly value: T }
    | { readonly kind: "invalid"; readonly faults: readonly ValidationFault[] };

const maxShownValueLength = 60;

/** Validates `input`; the fault for an unknown key suggests the most similar valid key. */
export function check<S extends z.ZodType>(schema: S, input: unknown): ValidationResult<z.infer<S>> {
    const parsed = schema.safeParse(input);
    if (parsed.success) {
        return { kind: "valid", value: parsed.data };
    }
    return { kind: "invalid", faults: parsed.error.issues.flatMap(issue => faultsOfIssue(schema, input, issue)) };
}

/** Formats faults as text, one per line, for a terminal or an error body. */
export function formatFaults(faults: readonly ValidationFault[]): string {
    return faults.map(fault => `${fault.path}: ${fault.message}`).join("\n");
}

function faultsOfIssue(schema: z.ZodType, input: unknown, issue: z.core.$ZodIssue): readonly ValidationFault[] {
    const steps = issue.path.map(step => typeof step === "number" ? step : String(step));
    const path = steps.map(String);
    if (issue.code === "unrecognized_keys") {
        const valid = keysAt(schema, path);
        return issue.keys.map(key => ({
            path: joinPath([...path, key]),
            steps: [...steps, key],
            message: unknownKeyMessage(key, valid),
        }));
    }
    const found = valueAt(input, path);
    const shown = found === undefined ? "nothing" : JSON.stringify(found).slice(0, maxShownValueLength);
    return [{ path: joinPath(path), steps, message: `${issue.message}; found ${shown}` }];
}

function joinPath(path: readonly string[]): string {
    return path.length === 0 ? "(top level)" : path.join(".");
}

function unknownKeyMessage(key: string, valid: readonly string[]): string {
    const nearest = nearestKey(key, valid);
    const hint = nearest === undefined ? `Valid keys: ${valid.join(", ")}` : `Did you mean "${nearest}"?`;
    return `unknown key "${key}". ${hint}`;
}

function valueAt(input: unknown, path: readonly string[]): unknown {
    return path.reduce<unknown>((value, key) => (value as Record<string, unknown> | undefined)?.[key], input);
}

type SchemaDefinition = {
    readonly type?: string;
    readonly shape?: Record<string, z.ZodType>;
    readonly innerType?: z.ZodType;
    readonly valueType?: z.ZodType;
    readonly element?: z.ZodType;
    readonly options?: readonly z.ZodType[];
    readonly in?: z.ZodType;
};

function keysAt(schema: z.ZodType, path: readonly string[]): readonly string[] {
    const definition = schema.def as unknown as SchemaDefinition;
    const wrapped = definition.innerType ?? definition.in;
    if (wrapped !== undefined) {
        return keysAt(wrapped, path);
    }
    if (definition.options !== undefined) {
        return [...new Set(definition.options.flatMap(option => keysAt(option, path)))];
    }
    const [head, ...rest] = path;
    if (head === undefined) {
        return Object.keys(definition.shape ?? {});
    }
    const next = definition.shape?.[head] ?? definition.valueType ?? definition.element;
    return next === undefined ? [] : keysAt(next, rest);
}

function nearestKey(key: string, valid: readonly string[]): string | undefined {
    const ranked = valid
        .map(candidate => ({ candidate, distance: editDistance(key.toLowerCase(), candidate.toLowerCase()) }))
        .sort((a, b) => a.distance - b.distance);
    const best = ranked[0];
    return best !== undefined && best.distance <= Math.max(2, key.length / 2) ? best.candidate : undefined;
}

/** Levenshtein distance, computed row by row. */
function editDistance(a: string, b: string): number {
    let row = Array.from({ length: b.length + 1 }, (unused, index) => index);
    for (let i = 1; i <= a.length; i++) {
        const next = [i];
        for (let j = 1; j <= b.length; j++) {
            const substitution = row[j - 1]! + (a[i - 1] === b[j - 1] ? 0 : 1);
            next.push(Math.min(row[j]! + 1, next[j - 1]! + 1, substitution));
        }
        row = next;
    }
    return row[b.length]!;
}
