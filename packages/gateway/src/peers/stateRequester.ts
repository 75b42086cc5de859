/** Requests what is newer than the local cluster state from one process, and applies it. */
import { mayRefuseFinally } from "@rattanquay/core";
import { type Timer } from "@rattanquay/timer";
import { type ClusterState } from "../clusterState";
import { type GatewayContext } from "../gatewayContext";
import { makeRowFaults } from "../rowFaults";
import { type Links } from "./links";
import { applyStateAnswer, makeStateRequest } from "./stateAnswers";

/** Resolves to whether the process answered; `mustConfirm` has it confirm its configuration before. */
export type StateRequester = (instance: string, mustConfirm?: boolean) => Promise<boolean>;

export const stateRequestTimeoutMs = 900;
/** A large configuration takes seconds over the slowest links, which carry other answers at the same time; none starts over. */
export const longestStateAnswerMs = 20_000;

export function makeStateRequester(
    context: GatewayContext,
    clusterState: ClusterState,
    links: Links,
    addressOf: (instance: string) => string | undefined,
): StateRequester {
    const faults = makeRowFaults(context);
    return async (instance, mustConfirm) => {
        const address = addressOf(instance);
        const askedAtMs = context.timer.nowMs();
        const answer = address === undefined
            ? undefined
            : await links.ask(address, makeStateRequest(clusterState, mustConfirm), {
                timeoutMs: stateRequestTimeoutMs,
                longestMs: longestStateAnswerMs,
            });
        if (answer?.kind !== "clusterState") {
            return false;
        }
        applyStateAnswer(answer, clusterState, faults, askedAtMs);
        return true;
    };
}

/** Has a process confirm its configuration. The function resolves to whether that confirms the local one. */
export function makeConfirmationRequester(
    requestState: StateRequester,
    clusterState: ClusterState,
    timer: Timer,
): (instance: string) => Promise<boolean> {
    return async instance => {
        await requestState(instance, true);
        return mayRefuseFinally(clusterState.configurationEvidence(), timer.nowMs());
    };
}
