/** Decides which requests are admitted, in which order, and how many run at once. */
export { type ConcurrencyLimit, makeConcurrencyLimit } from "./concurrencyLimit";
export { type FairQueue, makeFairQueue, type Queueable } from "./fairQueue";
export { type LengthEstimator, type LengthHint, makeLengthEstimator } from "./lengthEstimator";
export { type BudgetPart, placeBudget, type RecentLoad } from "./placeBudget";
export { makeShortWorkReserve, type ShortWorkReserve } from "./shortWorkReserve";
export { makeWaitEstimator, type WaitEstimator } from "./waitEstimator";
export { makeWorkspaceUsage, type WorkspaceUsage } from "./workspaceUsage";
