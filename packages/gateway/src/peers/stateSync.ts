/** Requests from any peer what a process lacks while the store or its relays do not provide it. */
import { type Cancel } from "@rattanquay/timer";
import { type ClusterStateWatch } from "../clusterState";
import { type GatewayContext } from "../gatewayContext";
import { makeRowFaults } from "../rowFaults";
import { type Links } from "./links";
import { type PeerDirectory } from "./peerDirectory";
import { type QuarantineExchange } from "./quarantineExchange";
import { applyStateAnswer, makeStateRequest } from "./stateAnswers";
import { longestStateAnswerMs } from "./stateRequester";

export type StateSyncOptions = {
    readonly context: GatewayContext;
    readonly watch: ClusterStateWatch;
    readonly directory: PeerDirectory;
    readonly links: Links;
    readonly quarantineExchange: QuarantineExchange;
};

/** Many round trips to the farthest peer. */
const askTimeoutMs = 500;
const syncEveryMs = 400;
/** Traffic between zones is expensive, but the store may be unavailable to all processes of a zone. */
const sameZoneShare = 0.6;

export function startStateSync(
    { context, watch, directory, links, quarantineExchange }: StateSyncOptions,
): Cancel {
    const { settings: { availabilityZone }, timer, random } = context;
    const faults = makeRowFaults(context);
    const { clusterState, configuration, upstreams } = watch;
    const isStateMissing = (): boolean =>
        configuration.isUnavailable()
        || upstreams.isUnavailable()
        || clusterState.routes() === undefined
        || !clusterState.hasCompleteList()
        || clusterState.evacuations.newest() === undefined;
    const syncClusterState = async (): Promise<void> => {
        const address = choosePeerAddress(directory, availabilityZone, random);
        if (!isStateMissing() || address === undefined) {
            return;
        }
        const askedAtMs = timer.nowMs();
        const answer = await links.ask(address, makeStateRequest(clusterState), {
            timeoutMs: askTimeoutMs,
            longestMs: longestStateAnswerMs,
        });
        if (answer?.kind === "clusterState") {
            applyStateAnswer(answer, clusterState, faults, askedAtMs);
        }
    };
    /** A process that has just started knows no quarantine, and its peers may not know of it yet. */
    let hasAskedForQuarantines = false;
    const syncQuarantines = async (): Promise<void> => {
        const address = choosePeerAddress(directory, availabilityZone, random);
        if ((hasAskedForQuarantines && !isStateMissing()) || address === undefined) {
            return;
        }
        hasAskedForQuarantines = await quarantineExchange.requestFrom(address) || hasAskedForQuarantines;
    };
    const cancels = [syncClusterState, syncQuarantines].map(sync => timer.every(syncEveryMs, runSingly(sync)));
    void syncQuarantines();
    return () => cancels.forEach(cancel => cancel());
}

/** Returns a function that runs a task unless its last run has not ended. */
function runSingly(task: () => Promise<void>): () => void {
    let isRunning = false;
    return () => {
        if (!isRunning) {
            isRunning = true;
            void task().finally(() => isRunning = false);
        }
    };
}

/** Chooses a peer, preferring the same zone, or a seed while no peer is known. */
function choosePeerAddress({ peers, seeds }: PeerDirectory, zone: string, random: () => number): string | undefined {
    const sameZonePeers = peers().filter(({ availabilityZone }) => availabilityZone === zone);
    const pool = sameZonePeers.length > 0 && random() < sameZoneShare ? sameZonePeers : peers();
    const addresses = pool.length > 0 ? pool.map(({ address }) => address) : seeds;
    return addresses[Math.floor(random() * addresses.length)];
}
