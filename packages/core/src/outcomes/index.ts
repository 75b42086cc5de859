/** Repeats, and what may be repeated. */
export { isRepeatable } from "./repeatable";
export { makeRetryBudget, type RetryBudget } from "./retryBudget";
