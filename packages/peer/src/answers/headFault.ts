/** Finds what in the head of an upstream's answer can't be read or passed on. */
import { type IncomingMessage, validateHeaderName, validateHeaderValue } from "node:http";

const minStatus = 200;
const maxStatus = 599;
/** Node's parser drops headers beyond this number without notice. */
const maxHeaders = 1_000;
const noContentStatus = 204;
const notModifiedStatus = 304;

/** The parts of an answer that are checked, of one that has just come or of one that was kept. */
export type AnswerParts = Pick<IncomingMessage, "statusCode" | "headers" | "rawHeaders">;

/** Whether a status can be that of a final answer. Node's parser takes any of three digits, and its writer none below 100. */
export function isFinalStatus(status: number): boolean {
    return status >= minStatus && status <= maxStatus;
}

/** Whether an answer has a length or chunked framing, or no body; without them, it ends with the connection. */
export function hasMarkedEnd({ statusCode = 0, headers }: AnswerParts, method: string): boolean {
    return hasNoBody(method, statusCode) || headers["content-length"] !== undefined
        || headers["transfer-encoding"] !== undefined;
}

/** Whether an answer ends with its head, whatever its headers declare. */
function hasNoBody(method: string, status: number): boolean {
    return method === "HEAD" || status === noContentStatus || status === notModifiedStatus;
}

/** Undefined for a head that is sound. The fault names a header only with characters that a log line can show. */
export function findHeadFault({ statusCode = 0, headers, rawHeaders }: AnswerParts): string | undefined {
    if (!isFinalStatus(statusCode)) {
        return `status ${statusCode}`;
    }
    if (rawHeaders.length >= 2 * maxHeaders) {
        return "too many headers";
    }
    return findHeaderFault(rawHeaders) ?? findFramingFault(statusCode, headers);
}

function findHeaderFault(rawHeaders: readonly string[]): string | undefined {
    for (let index = 0; index < rawHeaders.length; index += 2) {
        const name = rawHeaders[index]!;
        try {
            validateHeaderName(name);
            validateHeaderValue(name, rawHeaders[index + 1]!);
        }
        catch {
            return `header ${JSON.stringify(name.slice(0, maxShownName))}`;
        }
    }
    return undefined;
}

const maxShownName = 60;

function findFramingFault(
    status: number,
    { "content-length": length, "transfer-encoding": coding }: IncomingMessage["headers"],
): string | undefined {
    if (coding !== undefined && coding.toLowerCase() !== "chunked") {
        return "unknown transfer coding";
    }
    if (length !== undefined && (coding !== undefined || !Number.isSafeInteger(Number(length)))) {
        return "unclear length";
    }
    const hasBody = coding !== undefined || (length !== undefined && Number(length) > 0);
    return status === noContentStatus && hasBody ? "a body with status 204" : undefined;
}
