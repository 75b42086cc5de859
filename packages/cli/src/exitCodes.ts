/** Exit codes, as documented in docs/reference/commands.md. */
export const exitCodes = { ok: 0, refused: 1, usage: 2, unavailable: 3 } as const;
