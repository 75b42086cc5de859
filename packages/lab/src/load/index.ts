/** Callers: one call at a time, or an open-loop load. */
export { callChat, type CallResult, callService, type ChatRequest } from "./caller";
export { type CallRecord, runOpenLoop } from "./openLoop";
