/**
 * Communicates with the other gateway processes: exchanges load information, shares cluster state while the store is
 * unavailable, and sends orders on behalf of a process that cannot reach an instance itself.
 */
import { type OrderResult } from "@rattanquay/core";
import { dial, startPeerListener } from "@rattanquay/peer";
import {
    type EngineOrder,
    type GatewayAnswer,
    type GatewayInstance,
    type GatewayLoads,
    type GatewayRequest,
    type UpstreamRecord,
} from "@rattanquay/schema";
import { type ClusterState, type ClusterStateWatch } from "../clusterState";
import { type GatewayContext } from "../gatewayContext";
import { type UpstreamRegistry } from "../upstreams";
import { type FrameHandlers, type FrameLink, makeFrameLink } from "./frameLink";
import { makeLoadGossip } from "./loadGossip";
import { type PeerDirectory, startPeerDirectory } from "./peerDirectory";

/** The result of an order that peers sent, and how many peers in the instance's zone got no answer either. */
export type PassedOrder = { readonly result: OrderResult; readonly witnesses: number };

export type Peers = {
    /** The number of gateway processes, including this one. */
    readonly instances: () => number;
    readonly passOrder: (upstream: UpstreamRecord, order: EngineOrder) => Promise<PassedOrder>;
    /** Removes this process from the directory, so that peers no longer send requests to it. */
    readonly leave: () => Promise<void>;
    readonly close: () => void;
};

/** Many round trips to the farthest peer. */
const askTimeoutMs = 500;
/** Longer than `orderTimeoutMs`, for which the peer itself waits. */
const passTimeoutMs = 1_200;
const orderTimeoutMs = 500;
/** Peers in the instance's zone and in other zones that send an order: a partition rarely affects all of them. */
const sameZoneSenders = 4;
const otherZoneSenders = 2;
/** How often a peer is asked for cluster state while the store does not answer. */
const syncEveryMs = 400;
const gossipEveryMs = 300;
/** Peers of the same zone that get loads in each round; if there are more, each gets them less often. */
const sameZonePeersPerRound = 8;
/** Peers of other zones that get loads in each round, and forward them within their zone. */
const otherZonePeersPerRound = 1;

export async function startPeers(
    context: GatewayContext,
    { beliefs: clusterState, configuration, upstreams }: ClusterStateWatch,
    registry: UpstreamRegistry,
): Promise<Peers> {
    const { settings: { listeners, availabilityZone, instance }, timer, random, log, ports: { engines } } = context;
    const directory = startPeerDirectory(context);
    const gossip = makeLoadGossip({ instance, availabilityZone, registry, nowMs: timer.nowMs });
    const handlers: {
        readonly [K in GatewayRequest["kind"]]: (ask: Extract<GatewayRequest, { kind: K }>) => Promise<GatewayAnswer>;
    } = {
        beliefs: async ask => answerStateRequest(ask, clusterState),
        passOrder: async ({ upstream, order }) => {
            const { result } = await engines.order(upstream, order, orderTimeoutMs);
            log.info("orderPassed", { upstream: upstream.id, order: order.kind, result });
            return { kind: "orderPassed", result };
        },
    };
    const frameHandlers: FrameHandlers = {
        answer: ask => (handlers[ask.kind] as (ask: GatewayRequest) => Promise<GatewayAnswer>)(ask),
        take: gossip.receive,
    };
    const links = makeLinks(frameHandlers, context);
    const listener = listeners.peers === undefined
        ? undefined
        : await startPeerListener({
            ...listeners.peers,
            onSocket: socket => makeFrameLink(socket, frameHandlers, timer),
        });

    const syncClusterState = async (): Promise<void> => {
        const isUnavailable = configuration.isUnavailable() || upstreams.isUnavailable();
        const isIncomplete = clusterState.routes() === undefined || !clusterState.hasCompleteList();
        const address = choosePeerAddress(directory, availabilityZone, random);
        if ((!isUnavailable && !isIncomplete) || address === undefined) {
            return;
        }
        const ask = {
            kind: "beliefs",
            configVersion: clusterState.routes()?.version ?? 0,
            asOf: clusterState.asOf(),
        } as const;
        const answer = await links.ask(address, ask, askTimeoutMs);
        if (answer?.kind === "beliefs") {
            applyStateAnswer(answer, clusterState);
        }
    };
    let syncing = false;
    const cancelSync = timer.every(syncEveryMs, () => {
        if (!syncing) {
            syncing = true;
            void syncClusterState().finally(() => syncing = false);
        }
    });
    let round = 0;
    const cancelLoads = timer.every(gossipEveryMs, () => {
        const sameZonePeers = directory.peers().filter(peer => peer.availabilityZone === availabilityZone);
        const otherZonePeers = directory.peers().filter(peer => peer.availabilityZone !== availabilityZone);
        const rounds = Math.max(1, Math.ceil(sameZonePeers.length / sameZonePeersPerRound));
        round++;
        sameZonePeers.filter((unused, index) => index % rounds === round % rounds).forEach(({ address }) => {
            links.tell(address, gossip.forSameZone());
        });
        sample(otherZonePeers, otherZonePeersPerRound, random).forEach(({ address }) =>
            links.tell(address, gossip.forOtherZone())
        );
        gossip.apply(rounds * gossipEveryMs);
    });
    return {
        instances: () => directory.peers().length + 1,
        passOrder: async (upstream, order) => {
            const isSameZone = (peer: GatewayInstance): boolean => peer.availabilityZone === upstream.availabilityZone;
            const sendThrough = async (peer: GatewayInstance): Promise<OrderResult | undefined> => {
                const answer = await links.ask(peer.address, { kind: "passOrder", upstream, order }, passTimeoutMs);
                return answer?.kind === "orderPassed" ? answer.result : undefined;
            };
            const all = directory.peers();
            const [sameZone, otherZones] = await Promise.all([
                Promise.all(sample(all.filter(isSameZone), sameZoneSenders, random).map(sendThrough)),
                Promise.all(sample(all.filter(peer => !isSameZone(peer)), otherZoneSenders, random).map(sendThrough)),
            ]);
            const answered = [...sameZone, ...otherZones].find(found => found === "accepted" || found === "rejected");
            return {
                result: answered ?? "unanswered",
                witnesses: sameZone.filter(found => found === "unanswered").length,
            };
        },
        leave: directory.leave,
        close: () => {
            directory.stop();
            cancelSync();
            cancelLoads();
            listener?.close();
            links.stop();
        },
    };
}

type Links = {
    readonly ask: (address: string, ask: GatewayRequest, timeoutMs: number) => Promise<GatewayAnswer | undefined>;
    readonly tell: (address: string, loads: GatewayLoads) => void;
    readonly stop: () => void;
};

/** Keeps one connection to each peer that this process sends to. */
function makeLinks(frameHandlers: FrameHandlers, { timer }: GatewayContext): Links {
    const links = new Map<string, FrameLink>();
    const linkTo = (address: string): FrameLink => {
        const known = links.get(address);
        if (known?.isOpen()) {
            return known;
        }
        const link = makeFrameLink(dial(address), frameHandlers, timer);
        links.set(address, link);
        return link;
    };
    return {
        ask: (address, ask, timeoutMs) => linkTo(address).ask(ask, timeoutMs),
        tell: (address, loads) => linkTo(address).tell(loads),
        stop: () => links.forEach(link => link.close()),
    };
}

/** Chooses a peer, preferring the same zone, or a seed while no peer is known. */
function choosePeerAddress({ peers, seeds }: PeerDirectory, zone: string, random: () => number): string | undefined {
    const sameZonePeers = peers().filter(({ availabilityZone }) => availabilityZone === zone);
    const pool = sameZonePeers.length > 0 && random() < sameZoneShare ? sameZonePeers : peers();
    const addresses = pool.length > 0 ? pool.map(({ address }) => address) : seeds;
    return addresses[Math.floor(random() * addresses.length)];
}

/** Traffic between zones is expensive, but the store may be unavailable to all processes of a zone. */
const sameZoneShare = 0.6;

function sample<T>(items: readonly T[], count: number, random: () => number): readonly T[] {
    const left = [...items];
    return Array.from(
        { length: Math.min(count, left.length) },
        () => left.splice(Math.floor(random() * left.length), 1)[0]!,
    );
}

function answerStateRequest(
    ask: Extract<GatewayRequest, { kind: "beliefs" }>,
    clusterState: ClusterState,
): GatewayAnswer {
    const config = clusterState.configuration();
    return {
        kind: "beliefs",
        config: config !== undefined && config.version > ask.configVersion ? config : undefined,
        isWhole: ask.asOf === 0 && clusterState.hasCompleteList(),
        records: clusterState.revisionedRecords().filter(({ revision }) => revision > ask.asOf),
        removals: clusterState.removals().filter(({ revision }) => revision > ask.asOf),
        asOf: clusterState.asOf(),
    };
}

function applyStateAnswer(answer: Extract<GatewayAnswer, { kind: "beliefs" }>, clusterState: ClusterState): void {
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
