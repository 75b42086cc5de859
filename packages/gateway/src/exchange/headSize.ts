/** Measures the head of a caller's request against the configuration's bound. */
import { type IncomingMessage } from "node:http";

/** A head as the HTTP server has read it. */
export type ReadHead = Pick<IncomingMessage, "method" | "url" | "rawHeaders">;

/** The version, two spaces and the end of the line. */
const requestLineExtraBytes = " HTTP/1.1\r\n".length + 1;
/** A colon and the end of the line. */
const fieldExtraBytes = 3;
const emptyLineBytes = 2;

/**
 * Returns the bytes of the request line, the fields and the empty line. Spaces around values are not counted, so that the result
 * is never more than what the caller has sent.
 */
export function countHeadBytes({ method = "", url = "", rawHeaders }: ReadHead): number {
    const fields = rawHeaders.reduce((sum, text) => sum + text.length, 0) + rawHeaders.length / 2 * fieldExtraBytes;
    return method.length + url.length + requestLineExtraBytes + fields + emptyLineBytes;
}
