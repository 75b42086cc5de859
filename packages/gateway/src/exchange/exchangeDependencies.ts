/** Shared state and services that every exchange uses. */
import {
    type AdmissionHistory,
    type PredictionBiases,
    type SharedRetryBudget,
    type WorkspaceShares,
} from "@rattanquay/core";
import { type CallerMemory } from "@rattanquay/peer";
import { type ClusterState, type ConfigurationCheck } from "../clusterState";
import { type ColdGate } from "../cold";
import { type GatewayContext } from "../gatewayContext";
import { type Lifetime } from "../lifetime";
import { type Quarantine } from "../quarantine";
import { type UpstreamRegistry } from "../upstreams";
import { type PlacementGuard } from "./placementGuard";
import { type StallWatch } from "./stallWatch";
import { type UnreadableAnswers } from "./unreadableAnswers";
import { type UpstreamBytes } from "./upstreamBytes";

export type ExchangeDependencies = {
    readonly context: GatewayContext;
    readonly clusterState: ClusterState;
    readonly configurationCheck: ConfigurationCheck;
    readonly registry: UpstreamRegistry;
    readonly coldGate: ColdGate;
    readonly budget: SharedRetryBudget;
    /** The known number of gateway instances that share the retry budget. */
    readonly instances: () => number;
    readonly stallWatch: StallWatch;
    readonly unreadableAnswers: UnreadableAnswers;
    readonly guard: PlacementGuard;
    readonly callerMemory: CallerMemory;
    readonly upstreamBytes: UpstreamBytes;
    readonly lifetime: Lifetime;
    readonly quarantine: Quarantine;
    /** Recent prediction errors by model. */
    readonly biases: PredictionBiases;
    /** How recent requests fared, by urgency. */
    readonly admissions: AdmissionHistory;
    readonly workspaceShares: WorkspaceShares;
};
