/** Which work is let in, in which order, and how much of it runs at once. */
export { type ConcurrencyLimit, makeConcurrencyLimit } from "./concurrencyLimit";
export { type DrainRate, makeDrainRate } from "./drainRate";
export { type FairQueue, makeFairQueue, type Queueable } from "./fairQueue";
export { type LengthEstimates, type LengthHint, makeLengthEstimates } from "./lengthEstimates";
export { type BudgetPart, placeBudget, type RecentLoad } from "./placeBudget";
export { makePlaceReserve, type PlaceReserve } from "./placeReserve";
export { makeWorkspaceUsage, type WorkspaceUsage } from "./workspaceUsage";
