/** Tells answers after which a caller does not repeat its request from all others. */

const firstRedirection = 300;
const firstServerError = 500;
/** Statuses after which callers may repeat the request as it is: timeout, misdirected, and too many requests. */
const repeatableStatuses: ReadonlySet<number> = new Set([408, 421, 429]);

/** Whether a status tells the caller that the request is wrong as it is. */
export function isFinalRefusal(status: number): boolean {
    return status >= firstRedirection && status < firstServerError && !repeatableStatuses.has(status);
}
