/** Parses the text of a row. */
import { type Checked, checkValue } from "@rattanquay/schema";
import { type ZodType } from "zod";
import { type StoredRow } from "./ports";

/** Parses the row's text as JSON and checks it against the schema. Never throws, whatever the row holds. */
export function parseRow<T>(schema: ZodType<T>, { text }: Pick<StoredRow, "text">): Checked<T> {
    if (text === undefined) {
        return { kind: "unusable", reason: "the value is not base64 of UTF-8 text" };
    }
    let input: unknown;
    try {
        input = JSON.parse(text);
    }
    catch {
        return { kind: "unusable", reason: "the text is not JSON" };
    }
    return checkValue(schema, input);
}
