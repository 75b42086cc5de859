/** Checking one file against a schema, for the commands that do just that. */
import { type z } from "zod";
import { exitCodes } from "../exitCodes";
import { readJsonFile } from "../jsonFile";
import { complain, print } from "../output";

export async function checkFile(args: readonly string[], schema: z.ZodType, what: string): Promise<number> {
    const [path] = args;
    if (path === undefined) {
        throw new Error("FILE is missing.");
    }
    const file = readJsonFile(path, schema);
    if (file.kind === "invalid") {
        complain(file.message);
        return exitCodes.refused;
    }
    print(`${path} is valid as ${what}.`);
    return exitCodes.ok;
}
