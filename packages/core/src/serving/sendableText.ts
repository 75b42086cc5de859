/** Which texts an HTTP/1.1 request can carry unchanged. */

/** A target: what Node's client sends as it is, and what remains one part of the request line. */
const targetText = /^[\x21-\xff]+$/;
/**
 * A value of a header: Latin-1 without control characters. Spaces at its ends are left out, because receivers drop them and would
 * read another value.
 */
const headerText = /^(?:[\x21-\x7e\x80-\xff](?:[\t\x20-\x7e\x80-\xff]*[\x21-\x7e\x80-\xff])?)?$/;

/** Whether the target of a request can be sent unchanged. */
export function isSendableTarget(target: string): boolean {
    return targetText.test(target);
}

/** Whether the value of a header can be sent so that its receiver reads the same value. */
export function isSendableHeaderValue(value: string): boolean {
    return headerText.test(value);
}
