/** Serves callers: authentication, routing by path, error responses, and proxying to upstreams. */
export { type CallerListener, startCallerListener } from "./callerListener";
