/** A stand-in for one instance of a model engine. */
export { Batch, type Sequence } from "./batch";
export { type EngineOptions, type EngineStandIn, startEngine } from "./engineStandIn";
export { expectedText, tokenAt } from "./tokens";
