/** Frames: a length of four bytes, big-endian, followed by a payload of that length. */

import { makeByteCollector } from "./byteCollector";

const headerBytes = 4;

/** Prepends the length to a payload. */
export function encodeFrame(payload: Uint8Array): Buffer {
    const frame = Buffer.allocUnsafe(headerBytes + payload.length);
    frame.writeUInt32BE(payload.length, 0);
    frame.set(payload, headerBytes);
    return frame;
}

type DecodedFrames =
    | { readonly kind: "payloads"; readonly payloads: readonly Buffer[] }
    /** A frame's length exceeds the limit, so neither it nor any later frame can be read. */
    | { readonly kind: "tooLarge"; readonly bytes: number };

/** Splits a byte stream into payloads, whatever the sizes of the parts in which it arrives. */
export class FrameDecoder {
    /** The incomplete frame. */
    private readonly rest = makeByteCollector();
    /** The size of the incomplete frame, as far as it is known. */
    private wantedBytes = headerBytes;

    /** `maxBytes` may be raised once the other side is authenticated. */
    constructor(public maxBytes: number) {}

    /** Whether a part of a frame has come and more of it is due. */
    isInsideFrame(): boolean {
        return this.rest.size() > 0;
    }

    push(bytes: Uint8Array): DecodedFrames {
        this.rest.push(Buffer.from(bytes));
        if (this.rest.size() < this.wantedBytes) {
            return { kind: "payloads", payloads: [] };
        }
        let rest = this.rest.take();
        const payloads: Buffer[] = [];
        this.wantedBytes = headerBytes;
        while (rest.length >= headerBytes) {
            const length = rest.readUInt32BE(0);
            if (length > this.maxBytes) {
                return { kind: "tooLarge", bytes: length };
            }
            this.wantedBytes = headerBytes + length;
            if (rest.length < this.wantedBytes) {
                break;
            }
            payloads.push(rest.subarray(headerBytes, this.wantedBytes));
            rest = rest.subarray(this.wantedBytes);
            this.wantedBytes = headerBytes;
        }
        if (rest.length > 0) {
            this.rest.push(rest);
        }
        return { kind: "payloads", payloads };
    }
}
