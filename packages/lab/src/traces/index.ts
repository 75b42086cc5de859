/** A stand-in for the OTLP collector that traces are exported to. */
export { type ReceivedSpan, startTraceCollector, type TraceCollector } from "./traceCollector";
