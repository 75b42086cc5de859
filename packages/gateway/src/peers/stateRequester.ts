/** Requests what is newer than the local cluster state from one process, and applies it. */
import { mayRefuseFinally } from "@rattanquay/core";
import { type Timer } from "@rattanquay/timer";
import { type ClusterState } from "../clusterState";
import { type GatewayContext } from "../gatewayContext";
import { makeRowFaults } from "../rowFaults";
import { type Links } from "./links";
import { applyStateAnswer, makeStateRequest } from "./stateAnswers";
import { type UnreadableVersion } from "./unreadableVersion";

/** Resolves to whether the process answered; `mustConfirm` has it confirm its configuration before. */
export type StateRequester = (instance: string, mustConfirm?: boolean) => Promise<boolean>;

export const stateRequestTimeoutMs = 900;
/** A large configuration takes seconds over the slowest links, which carry other answers at the same time; none starts over. */
export const longestStateAnswerMs = 20_000;

/** `announcedVersion` returns the version of the configuration that a process has announced last, if any. */
export function makeStateRequester(
    context: GatewayContext,
    clusterState: ClusterState,
    links: Links,
    addressOf: (instance: string) => string | undefined,
    unreadable: UnreadableVersion,
    announcedVersion: (instance: string) => number | undefined,
): StateRequester {
    const faults = makeRowFaults(context);
    const ownVersion = (): number => clusterState.routes()?.version ?? 0;
    return async (instance, mustConfirm) => {
        const address = addressOf(instance);
        const askedAtMs = context.timer.nowMs();
        const announced = announcedVersion(instance);
        const configVersion = Math.max(ownVersion(), unreadable.current());
        const request = { ...makeStateRequest(clusterState, mustConfirm), configVersion };
        const answer = address === undefined
            ? undefined
            : await links.ask(address, request, {
                timeoutMs: stateRequestTimeoutMs,
                longestMs: longestStateAnswerMs,
            });
        if (answer?.kind !== "clusterState") {
            return false;
        }
        // An answer without a version that was left out of the request does not confirm the older one in force.
        const isNewestLeftOut = configVersion > ownVersion();
        const isUnreadable = applyStateAnswer(answer, clusterState, faults, askedAtMs, isNewestLeftOut);
        if (isUnreadable && announced !== undefined) {
            unreadable.note(announced);
        }
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
