/** Time and randomness, handed in with each call. */
export type Instant = { readonly nowMs: number; readonly random: () => number; readonly newToken: () => string };
