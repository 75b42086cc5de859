/** Holds back requests whose prompt has a segment that ends the upstreams that answer it. */
export { type AttemptWatch, type ObservedEnd } from "./attemptWatch";
export { type PromptRequest, Quarantine } from "./quarantineTask";
