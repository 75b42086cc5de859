/** Stand-ins for instances of a model engine. */
export { Batch, type Sequence } from "./batch";
export { type EngineOptions, type EngineStandIn, startEngine } from "./engineStandIn";
export { type InstanceSwarmOptions, startInstanceSwarm } from "./instanceSwarm";
export { expectedText, tokenAt } from "./tokens";
