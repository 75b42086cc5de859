/** Reading JSON that others wrote. */
import { type z } from "zod";

/** Parses JSON; undefined when it is none. */
export function parseJson(text: string): { readonly value: unknown } | undefined {
    try {
        return { value: JSON.parse(text) };
    }
    catch {
        return undefined;
    }
}

/** Parses JSON of a known shape; undefined when it is none or has another, as another version of its writer may leave it. */
export function parseAs<S extends z.ZodType>(schema: S, text: string): z.infer<S> | undefined {
    const json = parseJson(text);
    return json === undefined ? undefined : schema.safeParse(json.value).data;
}
