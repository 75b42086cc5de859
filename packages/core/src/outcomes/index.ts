/** Retries, which calls may be retried, and claims for calls that may run at most once. */
export { type AttemptOutcome, type Attempts, endingOf, mayRetryCall, noAttempts, recordAttempt } from "./attempts";
export {
    type Claimant,
    type ClaimEvent,
    type ClaimState,
    type ClaimStep,
    type ClaimVerdict,
    continueClaim,
    startClaim,
} from "./claim";
export { isFinalRefusal } from "./finalRefusal";
export { isRepeatable } from "./repeatable";
export { makeRetryBudget, type RetryBudget } from "./retryBudget";
export { type HeldClaim, planSettlement, type Settlement } from "./settlement";
