/** Holds bytes for callers within the budget of the process. */
export { type CallerBody } from "./callerBody";
export {
    type CallerConnection,
    type CallerConnections,
    type ConnectionFacts,
    makeCallerConnections,
} from "./callerConnections";
export { type CallerGate, makeCallerGate, type RequestEntry } from "./callerGate";
export {
    type CallerEndReason,
    type CallerEnds,
    type CallerMemory,
    type CallerMemoryEvents,
    type HeldRequest,
    makeCallerMemory,
    type TextBody,
    type WholeBody,
} from "./callerMemory";
export { type RequestBody } from "./segments";
export {
    answerUnparsedRequests,
    maxLinesPerSecond,
    serveUnknownExpectations,
    type UnparsedRequest,
} from "./unparsedRequests";
