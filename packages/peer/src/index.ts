/**
 * Links between entry instances: framed messages over TCP, mutually authenticated by a shared secret. Also what the listeners of
 * both interfaces share to hold bytes for their callers and to check the answers of upstreams.
 */
export { type AnswerParts, detectReset, findHeadFault, hasMarkedEnd, isFinalStatus } from "./answers";
export { type ByteCollector, makeByteCollector } from "./byteCollector";
export {
    answerUnparsedRequests,
    type CallerBody,
    type CallerConnection,
    type CallerConnections,
    type CallerEndReason,
    type CallerEnds,
    type CallerGate,
    type CallerMemory,
    type CallerMemoryEvents,
    type HeldRequest,
    makeCallerConnections,
    makeCallerGate,
    makeCallerMemory,
    maxLinesPerSecond,
    type RequestBody,
    type RequestEntry,
    serveUnknownExpectations,
    type TextBody,
    type UnparsedRequest,
    type WholeBody,
} from "./callers";
export { dial, type PeerListener, startPeerListener } from "./connections";
export { encodeFrame, FrameDecoder } from "./frames";
export { type Handshake, makeHandshake } from "./handshake";
export { type Link, type LinkEvent, startLink, type Traffic } from "./link";
