/** Checks the target of a request, of which some characters cannot be sent on unchanged. */

export type TargetFault =
    | { readonly kind: "empty" }
    /** `index` is that of the first such character, `code` its UTF-16 code unit. */
    | { readonly kind: "character"; readonly index: number; readonly code: number };

/** Spaces and control characters would end the target or the line; characters over 0xff are no single byte. */
const unsendable = /[^\u0021-\u00ff]/;

/**
 * Returns why a target cannot be sent to an upstream unchanged, or undefined if it can. It accepts just what Node's client does,
 * which throws on other targets.
 */
export function findTargetFault(target: string): TargetFault | undefined {
    if (target === "") {
        return { kind: "empty" };
    }
    const index = target.search(unsendable);
    return index < 0 ? undefined : { kind: "character", index, code: target.charCodeAt(index) };
}
