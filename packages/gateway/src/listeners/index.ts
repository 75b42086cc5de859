/** HTTP listeners for callers, readiness checks and metrics. */
export { type CallerListener, type Serve, startCallerListener } from "./callerListener";
export { startMetricsListener, startReadinessListener } from "./operatorListeners";
