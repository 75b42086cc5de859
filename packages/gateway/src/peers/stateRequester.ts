/** Requests what is newer than the local cluster state from one process, and applies it. */
import { type ClusterState } from "../clusterState";
import { type GatewayContext } from "../gatewayContext";
import { makeRowFaults } from "../rowFaults";
import { type Links } from "./links";
import { applyStateAnswer, makeStateRequest } from "./stateAnswers";

/** Resolves to whether the process answered. */
export type StateRequester = (instance: string) => Promise<boolean>;

export const stateRequestTimeoutMs = 900;
/** A large configuration takes seconds over the slowest links, which carry other answers at the same time. */
export const longestStateAnswerMs = 6_000;

export function makeStateRequester(
    context: GatewayContext,
    clusterState: ClusterState,
    links: Links,
    addressOf: (instance: string) => string | undefined,
): StateRequester {
    const faults = makeRowFaults(context);
    return async instance => {
        const address = addressOf(instance);
        const answer = address === undefined
            ? undefined
            : await links.ask(address, makeStateRequest(clusterState), {
                timeoutMs: stateRequestTimeoutMs,
                longestMs: longestStateAnswerMs,
            });
        if (answer?.kind !== "clusterState") {
            return false;
        }
        applyStateAnswer(answer, clusterState, faults);
        return true;
    };
}
