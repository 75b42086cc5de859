/** Logs, metrics and traces of one process. */
export { type Log, makeLog, silentLog } from "./log";
export { makeMetrics, type Metrics } from "./metrics";
export { makeStreamLog, type StreamLogOptions } from "./streamLog";
export { makeTracing, type Span, type Tracing } from "./tracing";
