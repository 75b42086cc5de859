/** Shared state and services that every exchange uses. */
import { type PredictionBiases, type RepeatBudget } from "@rattanquay/core";
import { type Beliefs } from "../clusterState";
import { type GatewayContext } from "../gatewayContext";
import { type UpstreamRegistry } from "../upstreams";
import { type StallWatch } from "./stallWatch";

export type ExchangeDependencies = {
    readonly context: GatewayContext;
    readonly beliefs: Beliefs;
    readonly registry: UpstreamRegistry;
    readonly budget: RepeatBudget;
    /** The known number of gateway instances that share the retry budget. */
    readonly instances: () => number;
    readonly stallWatch: StallWatch;
    /** Recent prediction errors by model. */
    readonly biases: PredictionBiases;
};
