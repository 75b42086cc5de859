/** Upstreams as this process knows them. */
export { ConnectionPool } from "./connectionPool";
export { type KnownUpstream, makeUpstreamBook, type UpstreamBook } from "./upstreamBook";
