/**
 * Writes one answer to a caller's connection, with the length that its head declares, else in chunks.
 *
 * Its end is always marked where the caller's version of HTTP allows it: an answer that ends with its connection looks complete
 * when this process ends, because the system closes the connections of a process that has been killed.
 */
import { type ServerResponse } from "node:http";
import { type RawHeaders } from "../ports";

export type BufferedAnswer = {
    readonly status: number;
    readonly headers: RawHeaders;
    readonly body: Buffer;
};

type Head = Omit<BufferedAnswer, "body">;

export type FramedResponse = {
    readonly begin: (head: Head) => void;
    /** Whether `bytes` more stay within the declared length. */
    readonly fits: (bytes: number) => boolean;
    readonly write: (bytes: Buffer | string) => void;
    /** Whether fewer bytes were written than declared. */
    readonly missesBytes: () => boolean;
    readonly end: (bytes?: Buffer) => void;
    /** Resets the connection, so that the caller cannot mistake a partial response for a complete one. */
    readonly reset: () => void;
    /** Adds the length of a whole body to a head that lacks it, where an answer of its kind has a body. */
    readonly withLength: (head: Head, bytes: number) => Head;
};

export function frameResponse(response: ServerResponse): FramedResponse {
    /** How many bytes of the declared length are still to be written. */
    let missing: number | undefined;
    const hasBody = (status: number): boolean => response.req.method !== "HEAD" && !statusesWithoutBody.has(status);
    return {
        begin: ({ status, headers }) => {
            missing = hasBody(status) ? declaredLength(headers) : undefined;
            response.writeHead(status, [...headers]);
        },
        fits: bytes => missing === undefined || bytes <= missing,
        write: bytes => {
            missing = missing === undefined ? undefined : missing - bytes.length;
            response.write(bytes, "latin1");
        },
        missesBytes: () => missing !== undefined && missing > 0,
        end: bytes => void response.end(bytes),
        reset: () => {
            if (response.destroyed) {
                return;
            }
            if (response.socket === null) {
                // A pipelined request gets its socket when the answers before it are out.
                response.once("socket", socket => socket.resetAndDestroy());
            }
            response.socket?.resetAndDestroy();
            response.destroy();
        },
        withLength: (head, bytes) =>
            hasBody(head.status) && declaredLength(head.headers) === undefined
                ? { ...head, headers: [...head.headers, "content-length", String(bytes)] }
                : head,
    };
}

const statusesWithoutBody: ReadonlySet<number> = new Set([204, 304]);

function declaredLength(headers: RawHeaders): number | undefined {
    const at = headers.findIndex((name, index) => index % 2 === 0 && name.toLowerCase() === "content-length");
    return at < 0 ? undefined : Number(headers[at + 1]);
}
