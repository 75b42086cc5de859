/** The current time and sources of randomness, passed in with each call. */
export type CallContext = { readonly nowMs: number; readonly random: () => number; readonly newToken: () => string };
