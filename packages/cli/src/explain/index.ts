/** Reconstructs the timeline of a request from the logs of several processes. */
export { type LogLine, parseLogLines } from "./logLine";
export { requestTimeline, type TimelineEntry } from "./timeline";
