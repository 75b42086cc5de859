/**
 * Communicates with the other gateway processes: exchanges load information, shares cluster state while the store is
 * unavailable, and sends orders on behalf of a process that cannot reach an instance itself.
 */
import { relaysPerZone, type WorkspaceShares } from "@rattanquay/core";
import { startPeerListener } from "@rattanquay/peer";
import {
    type EngineOrder,
    type GatewayAnswer,
    type GatewayInstance,
    type GatewayMessage,
    type GatewayRequest,
    type ProbeReport,
    type UpstreamRecord,
} from "@rattanquay/schema";
import { type ClusterStateWatch, type RelayConfirmation } from "../clusterState";
import { type ColdGrants } from "../cold";
import { type GatewayContext } from "../gatewayContext";
import { type Quarantine } from "../quarantine";
import { type UpstreamRegistry } from "../upstreams";
import { type FrameHandlers, type FrameLink, makeFrameLink } from "./frameLink";
import { startGossipRounds } from "./gossipRounds";
import { type InstanceLinks, makeInstanceLinks } from "./instanceLinks";
import { makeLinks } from "./links";
import { makeLoadGossip } from "./loadGossip";
import { makeOrderPasser, type PassedOrder } from "./passOrder";
import { startPeerDirectory } from "./peerDirectory";
import { startQuarantineExchange } from "./quarantineExchange";
import { makeStateAnswerer } from "./stateAnswers";
import { startStateFollower } from "./stateFollower";
import { startStateRelay } from "./stateRelay";
import { startStateSync } from "./stateSync";
import { makeUsageGossip } from "./usageGossip";

/**
 * How this process competes for the planning lease. Relays are preferred: they know the cluster state first and have
 * the most processor of their zones.
 */
export type PlanningCandidacy = {
    readonly isPreferred: boolean;
    /** The numbers of preferred candidates and of others, over all zones. */
    readonly preferredCount: number;
    readonly otherCount: number;
};

/** What peers need of this process's planner. */
export type PlannerAccess = {
    readonly isPlanner: () => boolean;
    readonly receiveProbeReport: (report: ProbeReport) => void;
    readonly coldGrants: ColdGrants;
};

/** What the processes tell each other about, beside the cluster state and the loads. */
export type GossipedState = {
    readonly quarantine: Quarantine;
    readonly workspaceShares: WorkspaceShares;
    /** Asks the store whether the configuration is the newest, for peers that rely on the answer. */
    readonly confirmWithStore: () => Promise<void>;
};

export type Peers = InstanceLinks & {
    /** The number of gateway processes, including this one. */
    readonly instances: () => number;
    readonly candidacy: () => PlanningCandidacy;
    /** Whether this process has the first rank of its zone; false while no peer is known. */
    readonly isFirstOfZone: () => boolean;
    /** Requests the cluster state from the relays at once. Resolves to whether one has answered. */
    readonly confirmState: () => Promise<boolean>;
    /** Has the relays confirm the configuration with the store, unless one of them is sending the state already. */
    readonly confirmConfiguration: () => Promise<RelayConfirmation>;
    readonly passOrder: (upstream: UpstreamRecord, order: EngineOrder) => Promise<PassedOrder>;
    /** Removes this process from the directory, so that peers no longer send requests to it. */
    readonly leave: () => Promise<void>;
    readonly close: () => void;
};

const orderTimeoutMs = 500;

export async function startPeers(
    context: GatewayContext,
    watch: ClusterStateWatch,
    registry: UpstreamRegistry,
    planner: PlannerAccess,
    { quarantine, workspaceShares, confirmWithStore }: GossipedState,
): Promise<Peers> {
    const { clusterState } = watch;
    const { settings: { listeners, availabilityZone, instance }, timer, log, ports: { engines } } = context;
    const directory = startPeerDirectory(context);
    const { coldGrants } = planner;
    const gossip = makeLoadGossip({
        instance,
        availabilityZone,
        registry,
        nowMs: timer.nowMs,
        knownHolder: coldGrants.knownHolder,
    });
    const usage = makeUsageGossip({ availabilityZone, shares: workspaceShares, nowMs: timer.nowMs });
    const handlers: {
        readonly [K in GatewayRequest["kind"]]: (ask: Extract<GatewayRequest, { kind: K }>) => Promise<GatewayAnswer>;
    } = {
        clusterState: makeStateAnswerer(clusterState, confirmWithStore, timer),
        quarantines: async () => ({ kind: "quarantines", news: quarantineExchange.snapshot() }),
        coldGrant: async ask => coldGrants.answer(ask),
        instances: async () => ({ kind: "instances", instances: [...directory.all()] }),
        passOrder: async ({ upstream, order }) => {
            const { result } = await engines.order(upstream, order, orderTimeoutMs);
            log.info("orderPassed", { upstream: upstream.id, order: order.kind, result });
            return { kind: "orderPassed", result };
        },
    };
    const frameHandlers: FrameHandlers = {
        answer: ask => (handlers[ask.kind] as (ask: GatewayRequest) => Promise<GatewayAnswer>)(ask),
        receive: (message, link) =>
            (receivers[message.kind] as (message: GatewayMessage, link: FrameLink) => void)(message, link),
    };
    const links = makeLinks(frameHandlers, context);
    const relay = startStateRelay(context, watch, quarantine);
    const quarantineExchange = startQuarantineExchange(context, quarantine, directory, links);
    const follower = startStateFollower({ context, watch, directory, links, isPlanner: planner.isPlanner });
    directory.setSource(follower.requestInstances);
    clusterState.onEra(directory.noteRestore);
    const receivers: {
        readonly [K in GatewayMessage["kind"]]: (
            message: Extract<GatewayMessage, { kind: K }>,
            link: FrameLink,
        ) => void;
    } = {
        loads: (message, link) => {
            quarantineExchange.noteSender(message.instance, link);
            gossip.receive(message);
            coldGrants.noteHolder(message.holder);
            usage.receive(message);
        },
        quarantineNews: quarantineExchange.receive,
        subscribe: ({ sentAtMs }, link) => {
            relay.subscribe(link, sentAtMs);
            follower.noteSubscriber();
        },
        subscribed: follower.receiveSubscriptionAnswer,
        stateNotice: follower.receiveNotice,
        probeReport: planner.receiveProbeReport,
    };
    const listener = listeners.peers === undefined
        ? undefined
        : await startPeerListener({
            ...listeners.peers,
            onSocket: socket => makeFrameLink(socket, frameHandlers, timer),
        });

    const cancelSync = startStateSync({ context, watch, directory, links, quarantineExchange });
    const cancelLoads = startGossipRounds(context, {
        registry,
        gossip,
        usage,
        quarantine,
        directory,
        links,
    });
    return {
        instances: () => directory.peers().length + 1,
        isFirstOfZone: () => directory.peers().length > 0 && follower.isFirst(),
        ...makeInstanceLinks(directory, links),
        candidacy: () => candidacyOf(availabilityZone, directory.peers(), follower.isRelay()),
        confirmState: follower.confirm,
        confirmConfiguration: follower.confirmConfiguration,
        passOrder: makeOrderPasser(context, directory, links),
        leave: () => {
            relay.leave();
            return directory.leave();
        },
        close: () => {
            directory.stop();
            relay.stop();
            follower.stop();
            cancelSync();
            cancelLoads();
            listener?.close();
            links.stop();
        },
    };
}

/** The relays are the preferred candidates for the planning lease. */
function candidacyOf(
    availabilityZone: string,
    peers: readonly GatewayInstance[],
    isPreferred: boolean,
): PlanningCandidacy {
    const zones = new Set([availabilityZone, ...peers.map(peer => peer.availabilityZone)]);
    const preferredCount = zones.size * relaysPerZone;
    return { isPreferred, preferredCount, otherCount: Math.max(0, peers.length + 1 - preferredCount) };
}
