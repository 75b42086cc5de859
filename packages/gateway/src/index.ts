/** The product on an external platform: requests, beliefs and planning, behind ports. */
export { type Beliefs, type Dated, makeBeliefs, type RemovedId } from "./beliefs";
export { type Gateway, startGateway } from "./gateway";
export { type GatewayMetrics, makeGatewayMetrics } from "./metrics";
export * from "./ports";
export { GatewaySettings } from "./settings";
export { ConnectionPool } from "./upstreams";
