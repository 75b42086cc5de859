/** What the peers task does with each message. */
import { noteLinked, peerTargets, tickMembership } from "@rattanquay/core";
import { type Hash } from "@rattanquay/core";
import { type LinkEvent } from "@rattanquay/peer";
import { type PeerHello } from "@rattanquay/schema";
import { type Source } from "@rattanquay/task";
import { type Config } from "../config";
import { type Fleet, unwrittenHeadVersion } from "../fleet";
import { type Surroundings } from "../surroundings";
import { type Connection, echoOf, isPreferred, noteSending } from "./connection";
import { makeMessageHandlers, type MessageHandlers } from "./messageHandlers";
import { type PeersState } from "./peersState";
import { type PeersKnowledge } from "./peersTask";
import { type ProgressAsks } from "./progressAsks";

export type PeersMessage =
    | { readonly kind: "event"; readonly id: number; readonly event: LinkEvent }
    | { readonly kind: "beat" }
    | { readonly kind: "dial" };

export type PeersParts = {
    readonly context: Surroundings;
    readonly configuration: Config;
    readonly fleet: Fleet;
    readonly hash: Hash;
    readonly isReady: () => boolean;
    readonly own: Omit<PeerHello, "nonce">;
    readonly state: PeersState;
    readonly source: Source<PeersKnowledge>;
    readonly asks: ProgressAsks;
    readonly dialTo: (address: string) => void;
};

function countTraffic({ context: { metrics }, state }: PeersParts): void {
    const { bytes, messages } = state.traffic();
    metrics.peerBytes.inc(bytes - state.counted.bytes);
    metrics.peerMessages.inc(messages - state.counted.messages);
    state.counted = { bytes, messages };
}

/** Missed heartbeats after which a peer is suspect, and dead. */
const suspectAfterBeats = 3;
const deadAfterBeats = 8;
const forgetAfterMs = 3_600_000;
/** How long a process that learns from peers alone waits for more of them before it counts as caught up. */
const settleMs = 1_500;

export const suspectAfterMs = ({ settings }: Surroundings): number =>
    settings.intervals.heartbeatMs * suspectAfterBeats;

export function makePeersHandlers(parts: PeersParts) {
    const { context, state } = parts;
    const messageHandlers = makeMessageHandlers(parts);
    return {
        event: ({ id, event }: Extract<PeersMessage, { readonly kind: "event" }>) => {
            const connection = state.connections.get(id);
            if (connection !== undefined) {
                takeEvent(parts, connection, event, messageHandlers);
            }
        },
        beat: () => {
            const nowMs = context.timer.nowMs();
            const { heartbeatMs } = context.settings.intervals;
            state.membership = tickMembership(state.membership, nowMs, {
                heartbeatMs,
                suspectAfterMs: suspectAfterMs(context),
                deadAfterMs: heartbeatMs * deadAfterBeats,
                forgetAfterMs,
            });
            state.connections.forEach(connection => beatOn(parts, connection, nowMs));
            closeSilent(state);
            countTraffic(parts);
            publish(parts, nowMs);
        },
        dial: () => dialDue(parts),
    };
}

function takeEvent(parts: PeersParts, connection: Connection, event: LinkEvent, handlers: MessageHandlers): void {
    const eventHandlers: { readonly [K in LinkEvent["kind"]]: (event: Extract<LinkEvent, { kind: K }>) => void } = {
        up: ({ peer }) => takeUp(parts, connection, peer),
        message: ({ message }) => {
            (handlers[message.kind] as (connection: Connection, given: typeof message) => void)(connection, message);
        },
        down: ({ reason }) => takeDown(parts, connection, reason),
    };
    (eventHandlers[event.kind] as (event: LinkEvent) => void)(event);
}

function takeUp({ context, state, own, fleet }: PeersParts, connection: Connection, peer: PeerHello): void {
    const { dialed, link } = connection;
    if (dialed !== undefined) {
        state.dialing.noteSuccess(dialed);
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
    state.remembered.set(process, { process, availabilityZone, peerAddress, callerAddress });
    state.membership = noteLinked(state.membership, peer, context.timer.nowMs());
    context.log.info("peerLinked", { peer: process, peerZone: availabilityZone });
    if (!fleet.feed.latest().instanceListRead) {
        link.send({ kind: "stateAsk", ...knownState({ context, fleet }, 0), wantsPlaces: true });
    }
}

/** The versions that a process names when it asks for what is newer. */
export function knownState(
    { fleet }: Pick<PeersParts, "fleet" | "context">,
    revision: number,
): { readonly revision: number; readonly zoneVersion: number } {
    return { revision, zoneVersion: fleet.feed.latest().groupsVersion ?? unwrittenHeadVersion - 1 };
}

function takeDown({ context, state }: PeersParts, connection: Connection, reason: string): void {
    const { dialed, peer, id, link } = connection;
    state.connections.delete(id);
    state.noteClosed(link.traffic());
    if (dialed !== undefined) {
        state.dialing.noteFailure(dialed);
    }
    if (peer !== undefined) {
        context.log.info("peerLinkLost", { peer: peer.process, reason });
    }
}

function beatOn({ configuration, fleet, isReady, own }: PeersParts, to: Connection, nowMs: number): void {
    const { peer, link, ledger } = to;
    if (peer === undefined) {
        return;
    }
    const zone = fleet.feed.latest();
    const sameZone = peer.availabilityZone === own.availabilityZone;
    const echo = echoOf(to, nowMs);
    const news = sameZone ? ledger.next(zone.probeEvidence, nowMs) : undefined;
    link.send({
        kind: "heartbeat",
        sequence: noteSending(to, nowMs),
        ...(echo === undefined ? {} : { echo }),
        revision: configuration.feed.latest().snapshot.revision,
        zoneVersion: zone.groupsVersion ?? unwrittenHeadVersion - 1,
        ready: isReady(),
        ...(news === undefined ? {} : { news }),
    });
    if (!sameZone) {
        tellSummary(to, configuration, zone);
    }
}

/** Between zones only the number of serving replicas goes, and only when it has changed. */
function tellSummary(to: Connection, configuration: Config, zone: ReturnType<Fleet["feed"]["latest"]>): void {
    const names = [...configuration.feed.latest().snapshot.services.keys()];
    const services = names.map(service => ({
        service,
        serving:
            zone.groups.filter(group =>
                group.service === service && zone.standings.get(group.group)?.kind === "serving"
            ).length,
    }));
    const text = JSON.stringify(services);
    if (text !== to.summaryTold) {
        to.summaryTold = text;
        to.link.send({ kind: "zoneSummary", services });
    }
}

/** A link whose peer has been silent until it counts as dead is of no use; a new one shows whether the peer is there. */
function closeSilent(state: PeersState): void {
    for (const { peer, link } of state.connections.values()) {
        const member = peer === undefined ? undefined : state.membership.members.get(peer.process);
        if (member?.state === "dead" && member.startId === peer?.startId) {
            link.close("the peer is silent");
        }
    }
}

function publish({ context, state, source, fleet, configuration, own }: PeersParts, nowMs: number): void {
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

/** The platform's own answer is never older than a peer's; what peers alone tell counts once they had time to tell it. */
function isCaughtUp(
    { state, fleet, configuration }: Pick<PeersParts, "state" | "fleet" | "configuration">,
    nowMs: number,
) {
    const { known, snapshot, fromTable } = configuration.feed.latest();
    const zone = fleet.feed.latest();
    const heard = Math.max(0, ...[...state.membership.members.values()].map(member => member.revision));
    const enough = fromTable && zone.headVersion !== undefined;
    return known && zone.groupsVersion !== undefined && snapshot.revision >= heard
        && (enough || nowMs - state.startedAtMs >= settleMs);
}

function dialDue({ context, state, fleet, hash, own, dialTo }: PeersParts): void {
    const { settings } = context;
    const open = [...state.connections.values()];
    const busyProcesses = new Set(open.map(({ peer }) => peer?.process));
    const busyAddresses = new Set(open.flatMap(({ dialed, peer }) => [dialed, peer?.peerAddress]));
    const places = state.places(fleet.feed.latest().entries);
    const unreachable = places.filter(place =>
        !busyProcesses.has(place.process) && state.dialing.hasFailed(place.peerAddress)
    );
    const targets = peerTargets(places, {
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
        !busyAddresses.has(address) && !state.ownAddresses.has(address) && state.dialing.isDue(address, process)
    );
    new Set(addresses.map(({ address }) => address)).forEach(dialTo);
}
