/** Callers: one call at a time, or an open-loop load. */
export { callChat, type CallResult, callService, type ChatRequest } from "./caller";
export { callFlood, type FloodCall } from "./floodCaller";
export { type CallRecord, runOpenLoop } from "./openLoop";
export { makeRecorder, type Recorder } from "./recorder";
export { loadUsage, runLoad } from "./runLoad";
