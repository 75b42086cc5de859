/** Handles each kind of message from a peer. */
import { decodeSnapshot, encodeSnapshot, noteHeartbeat } from "@rattanquay/core";
import { type PeerMessage } from "@rattanquay/schema";
import { type Connection, earliestSendTimeOf, receivesOurHeartbeats } from "./connection";
import { knownVersions, type PeersDependencies, suspectAfterMs } from "./peersHandlers";

type MessageOf<K extends PeerMessage["kind"]> = Extract<PeerMessage, { readonly kind: K }>;

export type MessageHandlers = {
    readonly [K in PeerMessage["kind"]]: (from: Connection, message: MessageOf<K>) => void;
};

/** Minimum time between two requests for newer state; jitter is added so that a zone's processes do not ask at once. */
const stateRequestIntervalMs = 200;

export function makeMessageHandlers(dependencies: PeersDependencies): MessageHandlers {
    const { state, progressRequests, configuration, fleet } = dependencies;
    return {
        heartbeat: (from, message) => handleHeartbeat(dependencies, from, message),
        stateAsk: (from, message) => handleStateRequest(dependencies, from, message),
        state: (unusedFrom, { snapshot, zone, places }) => {
            if (snapshot !== undefined) {
                configuration.applyPeerSnapshot(decodeSnapshot(snapshot));
            }
            if (zone !== undefined) {
                fleet.applyPeerZone(zone);
            }
            places.filter(place => !state.rememberedPlaces.has(place.process))
                .forEach(place => state.rememberedPlaces.set(place.process, place));
        },
        progressAsk: (from, { ask }) =>
            from.link.send({ kind: "progress", ask, processes: [...progressRequests.ownZone()] }),
        progress: (unusedFrom, message) => progressRequests.handleAnswer(message),
        zoneSummary: ({ peer }, { services }) => {
            if (peer !== undefined) {
                state.summaries.set(peer.process, new Map(services.map(({ service, serving }) => [service, serving])));
            }
        },
    };
}

function handleHeartbeat(dependencies: PeersDependencies, from: Connection, message: MessageOf<"heartbeat">): void {
    const { context, state, fleet, configuration, own } = dependencies;
    const { peer } = from;
    if (peer === undefined) {
        return;
    }
    const nowMs = context.timer.nowMs();
    from.heard = { sequence: message.sequence, atMs: nowMs };
    state.membership = noteHeartbeat(state.membership, {
        process: peer.process,
        startId: peer.startId,
        sequence: message.sequence,
        revision: message.revision,
        ready: message.ready,
        hearsUs: receivesOurHeartbeats(from, message, nowMs, suspectAfterMs(context)),
    }, nowMs);
    const sameZone = peer.availabilityZone === own.availabilityZone;
    if (sameZone && message.news !== undefined) {
        fleet.applyPeerEvidence(peer.process, message.news, earliestSendTimeOf(from, message, nowMs) ?? -Infinity);
    }
    const { revision } = configuration.feed.latest().snapshot;
    const known = knownVersions(dependencies, revision);
    const isNewer = message.revision > revision || (sameZone && message.zoneVersion > known.zoneVersion);
    if (isNewer && nowMs >= state.nextStateRequestAtMs) {
        state.nextStateRequestAtMs = nowMs + stateRequestIntervalMs * (1 + context.random());
        from.link.send({ kind: "stateAsk", ...known, wantsPlaces: false });
    }
}

/**
 * Sends only state newer than the requester's. The listed instances and the addresses of entry instances are included
 * only if the requester has not read the platform's list.
 */
function handleStateRequest(
    { configuration, fleet, state, own }: PeersDependencies,
    from: Connection,
    ask: MessageOf<"stateAsk">,
): void {
    const { isKnown, snapshot } = configuration.feed.latest();
    const zone = fleet.feed.latest();
    const sameZone = from.peer?.availabilityZone === own.availabilityZone;
    const version = zone.groupsVersion;
    from.link.send({
        kind: "state",
        ...(isKnown && snapshot.revision > ask.revision ? { snapshot: encodeSnapshot(snapshot) } : {}),
        ...(sameZone && version !== undefined && version > ask.zoneVersion
            ? { zone: { version, groups: [...zone.groups], instances: ask.wantsPlaces ? [...zone.instances] : [] } }
            : {}),
        places: ask.wantsPlaces ? [...state.places(zone.entries)] : [],
    });
}
