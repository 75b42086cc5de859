/** Hop-by-hop headers, which are not forwarded (RFC 9110, 7.6.1), in lower case. */
export const hopByHopHeaders: ReadonlySet<string> = new Set([
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
]);
