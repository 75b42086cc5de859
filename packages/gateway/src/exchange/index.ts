/** Handles caller requests: admission, placement, attempts at upstreams, and relaying of the answer. */
export { serveRequest } from "./admit";
export { type AdmittedRequest } from "./admittedRequest";
export { type Attempt, type AttemptEnd, startAttempt } from "./attempt";
export { type ExchangeOutcome, runExchange } from "./exchange";
export { type ExchangeDependencies } from "./exchangeDependencies";
export { makePlacementGuard, openPlacementGuard, type PlacementGuard } from "./placementGuard";
export { makeStallWatch, type StallWatch } from "./stallWatch";
export { makeUnreadableAnswers } from "./unreadableAnswers";
export { makeUpstreamBytes } from "./upstreamBytes";
