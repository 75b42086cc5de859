/** Validates a file against a schema; shared by `ticket check` and `settings check`. */
import { parseArgs } from "node:util";
import { type z } from "zod";
import { exitCodes } from "../exitCodes";
import { readJsonFile } from "../jsonFile";
import { print, printError } from "../output";

export async function checkFile(args: readonly string[], schema: z.ZodType, description: string): Promise<number> {
    const { values, positionals: [path] } = parseArgs({
        args: [...args],
        options: { json: { type: "boolean", default: false } },
        allowPositionals: true,
    });
    if (path === undefined) {
        throw new Error("FILE is missing.");
    }
    const file = readJsonFile(path, schema);
    const faults = file.kind === "invalid" ? file.faults : [];
    if (values.json) {
        print(JSON.stringify({ file: path, valid: file.kind === "valid", faults }));
    }
    else if (file.kind === "invalid") {
        printError(file.message);
    }
    else {
        print(`${path} is valid as ${description}.`);
    }
    return file.kind === "valid" ? exitCodes.ok : exitCodes.refused;
}
