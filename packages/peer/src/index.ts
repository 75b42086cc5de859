/** Links between entry instances: framed messages over TCP, mutually authenticated by a shared secret. */
export { type ByteCollector, makeByteCollector } from "./byteCollector";
export { dial, type PeerListener, startPeerListener } from "./connections";
export { encodeFrame, FrameDecoder } from "./frames";
export { type Handshake, makeHandshake } from "./handshake";
export { type Link, type LinkEvent, startLink, type Traffic } from "./link";
