/** The product on an external platform: requests, beliefs and planning, behind ports. */
export { type Gateway, type GatewayOptions, startGateway } from "./gateway";
export { type GatewayMetrics, makeGatewayMetrics } from "./metrics";
export * from "./ports";
export { GatewaySettings } from "./settings";
export { ConnectionPool } from "./upstreams";
