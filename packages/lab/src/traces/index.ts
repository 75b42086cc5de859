/** A stand-in for the collector that traces are sent to. */
export { type ReceivedSpan, startTraceCollector, type TraceCollector } from "./traceCollector";
