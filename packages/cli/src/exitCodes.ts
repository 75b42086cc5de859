/** Exit codes, as documented in docs/reference/commands.md. */
export const exitCodes = {
    ok: 0,
    /** A negative result: a file failed its check, a ticket was rejected, or a shutdown cut off requests. */
    refused: 1,
    /** The command line is invalid, or a file that the command needs is unreadable or invalid. */
    usage: 2,
    /** An entry instance, the platform or an address was not available; a retry may succeed. */
    unavailable: 3,
    /** The process exited because an invariant was violated; the last log line has the error. */
    invariantBroken: 70,
} as const;
