/** What a process does with each kind of message from a peer. */
import { noteHeartbeat, passSnapshot, takePassedSnapshot } from "@rattanquay/core";
import { type PeerMessage } from "@rattanquay/schema";
import { type Connection, earliestSendingOf, hearsUs } from "./connection";
import { knownState, type PeersParts, suspectAfterMs } from "./peersHandlers";

type Of<K extends PeerMessage["kind"]> = Extract<PeerMessage, { readonly kind: K }>;

export type MessageHandlers = {
    readonly [K in PeerMessage["kind"]]: (from: Connection, message: Of<K>) => void;
};

/** Between two asks for newer state; the wait varies, so that a zone does not ask all at once. */
const askIntervalMs = 200;

export function makeMessageHandlers(parts: PeersParts): MessageHandlers {
    const { state, asks, configuration, fleet } = parts;
    return {
        heartbeat: (from, message) => takeHeartbeat(parts, from, message),
        stateAsk: (from, message) => answerStateAsk(parts, from, message),
        state: (unusedFrom, { snapshot, zone, places }) => {
            if (snapshot !== undefined) {
                configuration.hear(takePassedSnapshot(snapshot));
            }
            if (zone !== undefined) {
                fleet.applyPeerZone(zone);
            }
            places.filter(place => !state.remembered.has(place.process))
                .forEach(place => state.remembered.set(place.process, place));
        },
        progressAsk: (from, { ask }) => from.link.send({ kind: "progress", ask, processes: [...asks.ownZone()] }),
        progress: (unusedFrom, message) => asks.take(message),
        zoneSummary: ({ peer }, { services }) => {
            if (peer !== undefined) {
                state.summaries.set(peer.process, new Map(services.map(({ service, serving }) => [service, serving])));
            }
        },
    };
}

function takeHeartbeat(parts: PeersParts, from: Connection, beat: Of<"heartbeat">): void {
    const { context, state, fleet, configuration, own } = parts;
    const { peer } = from;
    if (peer === undefined) {
        return;
    }
    const nowMs = context.timer.nowMs();
    from.heard = { sequence: beat.sequence, atMs: nowMs };
    state.membership = noteHeartbeat(state.membership, {
        process: peer.process,
        startId: peer.startId,
        sequence: beat.sequence,
        revision: beat.revision,
        ready: beat.ready,
        hearsUs: hearsUs(from, beat, nowMs, suspectAfterMs(context)),
    }, nowMs);
    const sameZone = peer.availabilityZone === own.availabilityZone;
    if (sameZone && beat.news !== undefined) {
        fleet.applyPeerEvidence(peer.process, beat.news, earliestSendingOf(from, beat, nowMs) ?? -Infinity);
    }
    const { revision } = configuration.feed.latest().snapshot;
    const known = knownState(parts, revision);
    const isNewer = beat.revision > revision || (sameZone && beat.zoneVersion > known.zoneVersion);
    if (isNewer && nowMs >= state.askNotBeforeMs) {
        state.askNotBeforeMs = nowMs + askIntervalMs * (1 + context.random());
        from.link.send({ kind: "stateAsk", ...known, wantsPlaces: false });
    }
}

/** Sends only what the asker lacks; instances and places only to whoever has not read the platform's list. */
function answerStateAsk({ configuration, fleet, state, own }: PeersParts, from: Connection, ask: Of<"stateAsk">): void {
    const { known, snapshot } = configuration.feed.latest();
    const zone = fleet.feed.latest();
    const sameZone = from.peer?.availabilityZone === own.availabilityZone;
    const version = zone.groupsVersion;
    from.link.send({
        kind: "state",
        ...(known && snapshot.revision > ask.revision ? { snapshot: passSnapshot(snapshot) } : {}),
        ...(sameZone && version !== undefined && version > ask.zoneVersion
            ? { zone: { version, groups: [...zone.groups], instances: ask.wantsPlaces ? [...zone.instances] : [] } }
            : {}),
        places: ask.wantsPlaces ? [...state.places(zone.entries)] : [],
    });
}
