/** Clients of the entry instances: single calls and open-loop load. */
export { callChat, type CallResult, callService, type ChatRequest } from "./caller";
export { type Crowd, type CrowdScript, startCrowd } from "./callerCrowd";
export { callCountingEvents, type CountedCall } from "./countingCaller";
export { announcedBody, chunkedBody, filler } from "./crowdBodies";
export { type CallRecord, runOpenLoop } from "./openLoop";
export { type ProcessUse, watchUse } from "./processUse";
export { makeRecorder, type Recorder } from "./recorder";
export { loadUsage, runLoad } from "./runLoad";
