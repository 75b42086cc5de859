/** Parses one of the gateway's rows. */
import { type ZodType } from "zod";

/** Undefined if the text does not match the schema, which another version of the program may cause. */
export function parseRow<T>(schema: ZodType<T>, text: string): T | undefined {
    try {
        return schema.safeParse(JSON.parse(text)).data;
    }
    catch {
        return undefined;
    }
}
