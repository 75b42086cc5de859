/** Collects the body of a request in segments of one size, which are used again for the next body. */

/** A body that has arrived, in parts that are sent on as they are. */
export type RequestBody = { readonly length: number; readonly parts: readonly Buffer[] };

/** Small enough not to waste much on the last one, and large enough that a body of some megabytes has few. */
const segmentBytes = 65_536;
/** Ordinary bodies fit into it. */
const firstSegmentBytes = 4_096;

export type SegmentPool = {
    readonly take: () => Buffer;
    /** Nothing may refer to the segments any more. */
    readonly giveBack: (segments: readonly Buffer[]) => void;
};

/** Keeps unused segments of up to `maxBytes`: memory that is left to the garbage collector stays in use for long. */
export function makeSegmentPool(maxBytes: number): SegmentPool {
    const unused: Buffer[] = [];
    const maxSegments = Math.floor(maxBytes / segmentBytes);
    return {
        take: () => unused.pop() ?? Buffer.allocUnsafeSlow(segmentBytes),
        giveBack: segments => {
            const room = maxSegments - unused.length;
            unused.push(...segments.filter(({ length }) => length === segmentBytes).slice(0, Math.max(0, room)));
        },
    };
}

export type SegmentCollector = {
    /** False if there is no room for more; what arrived before is kept. */
    readonly push: (chunk: Buffer) => boolean;
    readonly body: () => RequestBody;
    /** Gives the segments back. Only allowed if `body` was not passed on. */
    readonly discard: () => void;
};

/** `mayGrow` is asked before each segment is allocated, with its size in bytes. */
export function makeSegmentCollector(pool: SegmentPool, mayGrow: (bytes: number) => boolean): SegmentCollector {
    const segments: Buffer[] = [];
    let length = 0;
    /** The part of the last segment that is in use; segments before it are full. */
    let used = 0;
    const addSegment = (): boolean => {
        const bytes = segments.length === 0 ? firstSegmentBytes : segmentBytes;
        if (!mayGrow(bytes)) {
            return false;
        }
        segments.push(bytes === segmentBytes ? pool.take() : Buffer.allocUnsafeSlow(bytes));
        used = 0;
        return true;
    };
    /** Keeps the first chunk without a copy, as most bodies consist of one. */
    const keepFirst = (chunk: Buffer): boolean => {
        if (!mayGrow(chunk.length)) {
            return false;
        }
        segments.push(chunk);
        used = chunk.length;
        return true;
    };
    const copy = (chunk: Buffer): boolean => {
        for (let from = 0; from < chunk.length;) {
            if (used === (segments.at(-1)?.length ?? 0) && !addSegment()) {
                return false;
            }
            const copied = chunk.copy(segments.at(-1)!, used, from);
            used += copied;
            from += copied;
        }
        return true;
    };
    return {
        push: chunk => {
            const isFirst = segments.length === 0 && chunk.length >= firstSegmentBytes;
            length += chunk.length;
            return isFirst ? keepFirst(chunk) : copy(chunk);
        },
        body: () => ({
            length,
            parts: segments.map((segment, index) =>
                index === segments.length - 1 ? segment.subarray(0, used) : segment
            ),
        }),
        discard: () => {
            pool.giveBack(segments);
            segments.length = 0;
        },
    };
}
