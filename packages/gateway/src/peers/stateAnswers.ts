/** Requests for cluster state between peers: what a peer answers, and how an answer is applied. */
import { type GatewayAnswer, type GatewayRequest } from "@rattanquay/schema";
import { type ClusterState } from "../clusterState";

type StateRequest = Extract<GatewayRequest, { kind: "clusterState" }>;
type StateAnswer = Extract<GatewayAnswer, { kind: "clusterState" }>;

/** The request for everything that is newer than the local state. */
export function makeStateRequest(clusterState: ClusterState): StateRequest {
    return { kind: "clusterState", configVersion: clusterState.routes()?.version ?? 0, asOf: clusterState.asOf() };
}

export function answerStateRequest(request: StateRequest, clusterState: ClusterState): StateAnswer {
    const config = clusterState.configuration();
    return {
        kind: "clusterState",
        config: config !== undefined && config.version > request.configVersion ? config : undefined,
        isWhole: request.asOf === 0 && clusterState.hasCompleteList(),
        records: clusterState.revisionedRecords().filter(({ revision }) => revision > request.asOf),
        removals: clusterState.removals().filter(({ revision }) => revision > request.asOf),
        asOf: clusterState.asOf(),
    };
}

export function applyStateAnswer(answer: StateAnswer, clusterState: ClusterState): void {
    if (answer.config !== undefined) {
        clusterState.applyConfiguration(answer.config, "peer");
    }
    if (answer.isWhole) {
        clusterState.applySnapshot(answer.records, answer.asOf, "peer");
        return;
    }
    clusterState.applyRecords(answer.records, "peer");
    clusterState.applyRemovals(answer.removals, "peer");
    clusterState.advanceAsOf(answer.asOf);
}
