/** The gateway: serves requests and plans engine groups on an external platform, which it uses through ports. */
export { makeByteCollector } from "@rattanquay/peer";
export { type ClusterState, makeClusterState, type RemovedId, type Revisioned } from "./clusterState";
export { errorFields } from "./errorFields";
export { type Gateway, type GatewayOptions, startGateway } from "./gateway";
export { limitHeadBytes } from "./limitHeadBytes";
export { type GatewayMetrics, makeGatewayMetrics } from "./metrics";
export { parseRow } from "./parseRow";
export * from "./ports";
export { GatewaySettings } from "./settings";
export { ConnectionPool } from "./upstreams";
