/** The fields of a log line about an unexpected error. */
export function errorFields(error: unknown): { readonly error: string } {
    return { error: error instanceof Error ? error.stack ?? error.message : String(error) };
}
