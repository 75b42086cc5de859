/** The current time and sources of randomness, passed in with each call. */
export type Instant = { readonly nowMs: number; readonly random: () => number; readonly newToken: () => string };
