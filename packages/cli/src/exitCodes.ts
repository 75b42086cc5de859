/** Exit codes, as documented in docs/reference/commands.md. */
export const exitCodes = {
    ok: 0,
    /** The answer was no: an invalid file, a refused ticket, or a stop that cut requests. */
    refused: 1,
    /** The command line or a file that it names cannot be used. */
    usage: 2,
    /** An entry instance, the platform or an address could not be had; trying again may help. */
    unavailable: 3,
    /** A broken invariant ended the process; the log's last line says which. */
    invariantBroken: 70,
} as const;
