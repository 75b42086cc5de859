/** Clients of the entry instances: single calls and open-loop load. */
export { callChat, type CallResult, callService, type ChatRequest } from "./caller";
export { callCountingEvents, type CountedCall } from "./countingCaller";
export { type CallRecord, runOpenLoop } from "./openLoop";
export { makeRecorder, type Recorder } from "./recorder";
export { loadUsage, runLoad } from "./runLoad";
