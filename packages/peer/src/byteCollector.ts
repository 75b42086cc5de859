/** Collects bytes in one block of memory, so that many small parts take no more of it than a few large ones. */

export type ByteCollector = {
    /** The number of bytes that are held. */
    readonly size: () => number;
    readonly push: (part: Buffer) => void;
    /** Returns what is held, and starts anew. */
    readonly take: () => Buffer;
};

const minBlockBytes = 4_096;

/** Keeps a single part as it is; copies further ones. */
export function makeByteCollector(): ByteCollector {
    let block: Buffer = Buffer.alloc(0);
    let size = 0;
    const reserve = (bytes: number): void => {
        if (size + bytes <= block.length) {
            return;
        }
        const larger = Buffer.allocUnsafeSlow(Math.max(minBlockBytes, 2 * (size + bytes)));
        block.copy(larger, 0, 0, size);
        block = larger;
    };
    return {
        size: () => size,
        push: part => {
            if (size === 0) {
                block = part;
                size = part.length;
                return;
            }
            reserve(part.length);
            part.copy(block, size);
            size += part.length;
        },
        take: () => {
            const held = block.subarray(0, size);
            block = Buffer.alloc(0);
            size = 0;
            return held;
        },
    };
}
