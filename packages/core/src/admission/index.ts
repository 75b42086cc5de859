/** Decides which requests are admitted, in which order, and how many run at once. */
export { type ConcurrencyLimit, makeConcurrencyLimit } from "./concurrencyLimit";
export { makeWaitEstimator, type WaitEstimator } from "./drainRate";
export { type FairQueue, makeFairQueue, type Queueable } from "./fairQueue";
export { type LengthEstimates, type LengthHint, makeLengthEstimates } from "./lengthEstimates";
export { type BudgetPart, placeBudget, type RecentLoad } from "./placeBudget";
export { makeShortWorkReserve, type ShortWorkReserve } from "./placeReserve";
export { makeWorkspaceUsage, type WorkspaceUsage } from "./workspaceUsage";
