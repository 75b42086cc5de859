/** Frames: four bytes of length, most significant first, then so many bytes. */

const headerBytes = 4;

/** Puts the length before a payload. */
export function frameOf(payload: Uint8Array): Buffer {
    const frame = Buffer.allocUnsafe(headerBytes + payload.length);
    frame.writeUInt32BE(payload.length, 0);
    frame.set(payload, headerBytes);
    return frame;
}

type Deframed =
    | { readonly kind: "payloads"; readonly payloads: readonly Buffer[] }
    /** A frame announces more than is allowed; nothing after it can be read. */
    | { readonly kind: "tooLarge"; readonly bytes: number };

/** Cuts a stream of bytes into payloads, however the bytes arrive. */
export class Deframer {
    private rest: Buffer = Buffer.alloc(0);

    /** `maxBytes` may be raised once the other side has proved itself. */
    constructor(public maxBytes: number) {}

    push(bytes: Uint8Array): Deframed {
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
