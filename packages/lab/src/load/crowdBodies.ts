/** Requests with bodies that need not end, as the parts that a client of a crowd writes. */

const fillerBytes = 4_194_304;

/** Bytes for bodies; parts of it are sent without a copy. */
export const filler = Buffer.alloc(fillerBytes, "x");

type AnnouncedBody = { readonly announced: number; readonly sent: number; readonly piece: number };

/** `head` lacks the line of the length and the empty line. */
export function* announcedBody(head: string, { announced, sent, piece }: AnnouncedBody): Iterable<Buffer> {
    yield Buffer.from(`${head}content-length: ${announced}\r\n\r\n`);
    for (let done = 0; done < sent; done += piece) {
        yield filler.subarray(0, Math.min(piece, sent - done));
    }
}

type ChunkedBody = {
    readonly size: number;
    readonly chunk: number;
    readonly chunksAtOnce: number;
    readonly isEnded: boolean;
};

/** `head` lacks the line of the coding and the empty line. */
export function* chunkedBody(
    head: string,
    { size, chunk, chunksAtOnce, isEnded }: ChunkedBody,
): Iterable<Buffer> {
    const parts = [Buffer.from(`${chunk.toString(16)}\r\n`), filler.subarray(0, chunk), Buffer.from("\r\n")];
    const chunks = Buffer.concat(Array.from({ length: chunksAtOnce }, () => parts).flat());
    yield Buffer.from(`${head}transfer-encoding: chunked\r\n\r\n`);
    for (let sent = 0; sent < size; sent += chunk * chunksAtOnce) {
        yield chunks;
    }
    if (isEnded) {
        yield Buffer.from("0\r\n\r\n");
    }
}
