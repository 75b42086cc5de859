/** Reading a JSON file that a person wrote. */
import { check, renderFaults } from "@rattanquay/schema";
import { readFileSync } from "node:fs";
import { type z } from "zod";

export type JsonFile<T> = { readonly kind: "valid"; readonly value: T } | {
    readonly kind: "invalid";
    readonly message: string;
};

/** Reads and checks a file; the message names the file, the keys and what would do. */
export function readJsonFile<S extends z.ZodType>(file: string, schema: S): JsonFile<z.infer<S>> {
    const read = readText(file);
    if (read.kind === "invalid") {
        return read;
    }
    try {
        const checked = check(schema, JSON.parse(read.value));
        return checked.kind === "valid"
            ? checked
            : { kind: "invalid", message: `${file} is not valid:\n${renderFaults(checked.faults)}` };
    }
    catch (error) {
        return { kind: "invalid", message: `${file} is not valid JSON: ${(error as Error).message}` };
    }
}

function readText(file: string): JsonFile<string> {
    try {
        return { kind: "valid", value: readFileSync(file, "utf8") };
    }
    catch (error) {
        return { kind: "invalid", message: `${file} cannot be read: ${(error as Error).message}` };
    }
}
