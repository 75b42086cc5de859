/** The upstreams known to this process and the connections to them. */
export { ConnectionPool } from "./connectionPool";
export { type KnownUpstream, makeUpstreamRegistry, type UpstreamRegistry } from "./upstreamRegistry";
