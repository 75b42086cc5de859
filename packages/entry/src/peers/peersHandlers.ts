/** Handlers of the peers task's messages. */
import { advanceMembership, noteLinked, selectPeers } from "@rattanquay/core";
import { type Hash } from "@rattanquay/core";
import { type LinkEvent } from "@rattanquay/peer";
import { type PeerHello } from "@rattanquay/schema";
import { type ValuePublisher } from "@rattanquay/task";
import { type ConfigTask } from "../config";
import { type Fleet, unwrittenHeadVersion } from "../fleet";
import { type ProcessContext } from "../processContext";
import { type Connection, echoOf, isPreferred, noteReceivedBytes, recordSend } from "./connection";
import { makeMessageHandlers, type MessageHandlers } from "./messageHandlers";
import { type PeersState } from "./peersState";
import { type ObservedPeers } from "./peersTask";
import { type ProgressRequests } from "./progressRequests";

export type PeersMessage =
    | { readonly kind: "event"; readonly id: number; readonly event: LinkEvent }
    | { readonly kind: "sendHeartbeats" }
    | { readonly kind: "dialPeers" };

export type PeersDependencies = {
    readonly context: ProcessContext;
    readonly configuration: ConfigTask;
    readonly fleet: Fleet;
    readonly hash: Hash;
    readonly isReady: () => boolean;
    readonly own: Omit<PeerHello, "nonce">;
    readonly state: PeersState;
    readonly source: ValuePublisher<ObservedPeers>;
    readonly progressRequests: ProgressRequests;
    readonly dialTo: (address: string) => void;
};

function countTraffic({ context: { metrics }, state }: PeersDependencies): void {
    const { bytes, messages } = state.traffic();
    metrics.peerBytes.inc(bytes - state.reportedTraffic.bytes);
    metrics.peerMessages.inc(messages - state.reportedTraffic.messages);
    state.reportedTraffic = { bytes, messages };
}

/** Heartbeat intervals without a heartbeat after which a peer is suspect, and after which it is dead. */
const suspectAfterHeartbeats = 3;
const deadAfterHeartbeats = 8;
/**
 * A large configuration delays the heartbeats behind it, so a link that receives bytes is closed only this long after the
 * last heartbeat.
 */
const longestWithoutHeartbeatMs = 30_000;
const forgetAfterMs = 3_600_000;
/** How long a process that cannot read the table waits for state from more peers before it counts as caught up. */
const peersOnlyWaitMs = 1_500;

export const suspectAfterMs = ({ settings }: ProcessContext): number =>
    settings.intervals.heartbeatMs * suspectAfterHeartbeats;

export function makePeersHandlers(dependencies: PeersDependencies) {
    const { context, state } = dependencies;
    const messageHandlers = makeMessageHandlers(dependencies);
    return {
        event: ({ id, event }: Extract<PeersMessage, { readonly kind: "event" }>) => {
            const connection = state.connections.get(id);
            if (connection !== undefined) {
                handleLinkEvent(dependencies, connection, event, messageHandlers);
            }
        },
        sendHeartbeats: () => {
            const nowMs = context.timer.nowMs();
            const { heartbeatMs } = context.settings.intervals;
            state.membership = advanceMembership(state.membership, nowMs, {
                heartbeatMs,
                suspectAfterMs: suspectAfterMs(context),
                deadAfterMs: heartbeatMs * deadAfterHeartbeats,
                forgetAfterMs,
            });
            state.connections.forEach(connection => {
                noteReceivedBytes(connection, nowMs);
                sendHeartbeat(dependencies, connection, nowMs);
            });
            closeDeadLinks(state, nowMs, heartbeatMs * deadAfterHeartbeats);
            countTraffic(dependencies);
            publish(dependencies, nowMs);
        },
        dialPeers: () => dialDuePeers(dependencies),
    };
}

function handleLinkEvent(
    dependencies: PeersDependencies,
    connection: Connection,
    event: LinkEvent,
    handlers: MessageHandlers,
): void {
    const eventHandlers: { readonly [K in LinkEvent["kind"]]: (event: Extract<LinkEvent, { kind: K }>) => void } = {
        up: ({ peer }) => handleUp(dependencies, connection, peer),
        message: ({ message }) => {
            (handlers[message.kind] as (connection: Connection, given: typeof message) => void)(connection, message);
        },
        down: ({ reason }) => handleDown(dependencies, connection, reason),
    };
    (eventHandlers[event.kind] as (event: LinkEvent) => void)(event);
}

function handleUp({ context, state, own, fleet }: PeersDependencies, connection: Connection, peer: PeerHello): void {
    const { dialed, link } = connection;
    if (dialed !== undefined) {
        state.dialBackoff.recordSuccess(dialed);
    }
    if (peer.startId === own.startId) {
        state.ownAddresses.add(dialed ?? peer.peerAddress);
        link.close("this is the process itself");
        return;
    }
    connection.peer = peer;
    const other = [...state.connections.values()].find(known =>
        known.id !== connection.id && known.peer?.process === peer.process
    );
    if (
        other?.peer?.startId === peer.startId && isPreferred(other, own.process)
        && !isPreferred(connection, own.process)
    ) {
        connection.peer = undefined;
        link.close("there is another link to this process");
        return;
    }
    other?.link.close("a newer link takes its place");
    fleet.resetPeerEvidence(peer.process);
    const { process, availabilityZone, peerAddress, callerAddress } = peer;
    state.rememberedPlaces.set(process, { process, availabilityZone, peerAddress, callerAddress });
    state.membership = noteLinked(state.membership, peer, context.timer.nowMs());
    context.log.info("peerLinked", { peer: process, peerZone: availabilityZone });
    if (!fleet.feed.latest().instanceListRead) {
        link.send({ kind: "stateAsk", ...knownVersions({ context, fleet }, 0), wantsPlaces: true });
    }
}

/** The versions that this process has, sent when it requests newer state. */
export function knownVersions(
    { fleet }: Pick<PeersDependencies, "fleet" | "context">,
    revision: number,
): { readonly revision: number; readonly zoneVersion: number } {
    return { revision, zoneVersion: fleet.feed.latest().groupsVersion ?? unwrittenHeadVersion - 1 };
}

function handleDown({ context, state }: PeersDependencies, connection: Connection, reason: string): void {
    const { dialed, peer, id, link } = connection;
    state.connections.delete(id);
    state.recordClosed(link.traffic());
    if (dialed !== undefined) {
        state.dialBackoff.recordFailure(dialed);
    }
    if (peer !== undefined) {
        context.log.info("peerLinkLost", { peer: peer.process, reason });
    }
}

function sendHeartbeat({ configuration, fleet, isReady, own }: PeersDependencies, to: Connection, nowMs: number): void {
    const { peer, link, evidenceTracker } = to;
    if (peer === undefined) {
        return;
    }
    const zone = fleet.feed.latest();
    const sameZone = peer.availabilityZone === own.availabilityZone;
    const echo = echoOf(to, nowMs);
    const news = sameZone ? evidenceTracker.next(zone.probeEvidence, nowMs) : undefined;
    link.send({
        kind: "heartbeat",
        sequence: recordSend(to, nowMs),
        ...(echo === undefined ? {} : { echo }),
        revision: configuration.feed.latest().snapshot.revision,
        zoneVersion: zone.groupsVersion ?? unwrittenHeadVersion - 1,
        ready: isReady(),
        ...(news === undefined ? {} : { news }),
    });
    if (!sameZone) {
        sendZoneSummary(to, configuration, zone);
    }
}

/** Sends a peer in another zone the number of serving replicas of each service, but only if one has changed. */
function sendZoneSummary(to: Connection, configuration: ConfigTask, zone: ReturnType<Fleet["feed"]["latest"]>): void {
    const names = [...configuration.feed.latest().snapshot.services.keys()];
    const services = names.map(service => ({
        service,
        serving:
            zone.groups.filter(group =>
                group.service === service && zone.groupStatuses.get(group.group)?.kind === "serving"
            ).length,
    }));
    const text = JSON.stringify(services);
    if (text !== to.lastSummary) {
        to.lastSummary = text;
        to.link.send({ kind: "zoneSummary", services });
    }
}

/** Closes silent links to peers that count as dead; dialing again shows whether the peer is reachable. */
function closeDeadLinks(state: PeersState, nowMs: number, silentAfterMs: number): void {
    for (const { peer, link, received } of state.connections.values()) {
        const member = peer === undefined ? undefined : state.membership.members.get(peer.process);
        if (member?.state !== "dead" || member.startId !== peer?.startId) {
            continue;
        }
        const isReceiving = received !== undefined && nowMs - received.atMs < silentAfterMs;
        if (!isReceiving || nowMs - member.lastHeardMs >= longestWithoutHeartbeatMs) {
            link.close("the peer is silent");
        }
    }
}

function publish({ context, state, source, fleet, configuration, own }: PeersDependencies, nowMs: number): void {
    const members = [...state.membership.members.values()];
    const linked = new Set([...state.connections.values()].map(({ peer }) => peer?.process));
    [...state.summaries.keys()].filter(name => !linked.has(name)).forEach(name => state.summaries.delete(name));
    const zonePeers = members.filter(member =>
        member.availabilityZone === own.availabilityZone && member.state !== "dead"
    );
    fleet.setPeers(zonePeers.map(member => member.process));
    state.caughtUp ||= isCaughtUp({ state, fleet, configuration }, nowMs);
    for (const label of ["alive", "suspect", "dead"] as const) {
        context.metrics.peers.set({ state: label }, members.filter(member => member.state === label).length);
    }
    source.publish({ members, summaries: new Map(state.summaries), caughtUp: state.caughtUp });
}

/**
 * Whether the process has a configuration and groups, and no peer has reported a higher revision. Data read from the
 * table counts at once, since it is never older than a peer's; data from peers alone counts after `peersOnlyWaitMs`.
 */
function isCaughtUp(
    { state, fleet, configuration }: Pick<PeersDependencies, "state" | "fleet" | "configuration">,
    nowMs: number,
) {
    const { isKnown, snapshot, confirmedByTable } = configuration.feed.latest();
    const zone = fleet.feed.latest();
    const highestReported = Math.max(0, ...[...state.membership.members.values()].map(member => member.revision));
    const tableRead = confirmedByTable && zone.headVersion !== undefined;
    return isKnown && zone.groupsVersion !== undefined && snapshot.revision >= highestReported
        && (tableRead || nowMs - state.startedAtMs >= peersOnlyWaitMs);
}

function dialDuePeers({ context, state, fleet, hash, own, dialTo }: PeersDependencies): void {
    const { settings } = context;
    const open = [...state.connections.values()];
    const busyProcesses = new Set(open.map(({ peer }) => peer?.process));
    const busyAddresses = new Set(open.flatMap(({ dialed, peer }) => [dialed, peer?.peerAddress]));
    const places = state.places(fleet.feed.latest().entries);
    const unreachable = places.filter(place =>
        !busyProcesses.has(place.process) && state.dialBackoff.hasFailed(place.peerAddress)
    );
    const targets = selectPeers(places, {
        process: own.process,
        availabilityZone: own.availabilityZone,
        linksPerOtherZone: settings.peers.linksPerOtherZone,
        hash,
        unreachable: new Set(unreachable.map(place => place.process)),
    });
    const due = [
        ...targets.filter(place => !busyProcesses.has(place.process)).map(place => ({
            address: place.peerAddress,
            process: place.process as string | undefined,
        })),
        ...settings.peers.seeds.map(address => ({ address, process: undefined })),
    ];
    const addresses = due.filter(({ address, process }) =>
        !busyAddresses.has(address) && !state.ownAddresses.has(address) && state.dialBackoff.isDue(address, process)
    );
    new Set(addresses.map(({ address }) => address)).forEach(dialTo);
}
