/** Frames: a length of four bytes, big-endian, followed by a payload of that length. */

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

/** Splits a byte stream into payloads, whatever the sizes of the chunks in which it arrives. */
export class FrameDecoder {
    private rest: Buffer = Buffer.alloc(0);

    /** `maxBytes` may be raised once the other side is authenticated. */
    constructor(public maxBytes: number) {}

    push(bytes: Uint8Array): DecodedFrames {
        this.rest = this.rest.length === 0 ? Buffer.from(bytes) : Buffer.concat([this.rest, bytes]);
        const payloads: Buffer[] = [];
        while (this.rest.length >= headerBytes) {
            const length = this.rest.readUInt32BE(0);
            if (length > this.maxBytes) {
                return { kind: "tooLarge", bytes: length };
            }
            const end = headerBytes + length;
            if (this.rest.length < end) {
                break;
            }
            payloads.push(this.rest.subarray(headerBytes, end));
            this.rest = this.rest.subarray(end);
        }
        return { kind: "payloads", payloads };
    }
}
