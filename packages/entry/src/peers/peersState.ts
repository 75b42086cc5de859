/** State of the peers task: links, membership, and the addresses of known entry instances. */
import { emptyMembership, type Membership, type PeerMember } from "@rattanquay/core";
import { type Traffic } from "@rattanquay/peer";
import { type EntryListing, type PeerHello } from "@rattanquay/schema";
import { type ProcessContext } from "../processContext";
import { type Connection } from "./connection";
import { type DialBackoff, makeDialBackoff } from "./dialBackoff";

export type PeersState = {
    membership: Membership;
    readonly connections: Map<number, Connection>;
    readonly rememberedPlaces: Map<string, EntryListing>;
    readonly summaries: Map<string, ReadonlyMap<string, number>>;
    readonly dialBackoff: DialBackoff;
    /** Addresses that lead to this process itself, found by its own `startId` in the hello. */
    readonly ownAddresses: Set<string>;
    nextStateRequestAtMs: number;
    /** The traffic already added to the metrics. */
    reportedTraffic: { readonly bytes: number; readonly messages: number };
    caughtUp: boolean;
    readonly startedAtMs: number;
    readonly nextConnectionId: () => number;
    /** All known entry instances. The platform's list overrides remembered data, and alive members override both. */
    readonly places: (listed: readonly EntryListing[]) => readonly EntryListing[];
    readonly traffic: () => { readonly bytes: number; readonly messages: number };
    /** Adds the traffic of a closed link to the total. */
    readonly recordClosed: (traffic: Traffic) => void;
};

export function makePeersState({ timer, random }: ProcessContext, own: Omit<PeerHello, "nonce">): PeersState {
    const closed = { bytes: 0, messages: 0 };
    let nextId = 1;
    const state: PeersState = {
        membership: emptyMembership,
        connections: new Map(),
        rememberedPlaces: new Map(),
        summaries: new Map(),
        dialBackoff: makeDialBackoff({ ownProcess: own.process, nowMs: timer.nowMs, random }),
        ownAddresses: new Set([own.peerAddress]),
        nextStateRequestAtMs: 0,
        reportedTraffic: { bytes: 0, messages: 0 },
        caughtUp: false,
        startedAtMs: timer.nowMs(),
        nextConnectionId: () => nextId++,
        places: listed => mergePlaces(state, listed, own.process),
        traffic: () => {
            const open = [...state.connections.values()].map(({ link }) => link.traffic());
            return open.reduce((sum, traffic) => ({
                bytes: sum.bytes + traffic.bytesIn + traffic.bytesOut,
                messages: sum.messages + traffic.messagesIn + traffic.messagesOut,
            }), { ...closed });
        },
        recordClosed: traffic => {
            closed.bytes += traffic.bytesIn + traffic.bytesOut;
            closed.messages += traffic.messagesIn + traffic.messagesOut;
        },
    };
    return state;
}

function mergePlaces(state: PeersState, listed: readonly EntryListing[], ownProcess: string): readonly EntryListing[] {
    const alive = [...state.membership.members.values()].filter(member => member.state === "alive").map(placeOf);
    const all = [...state.rememberedPlaces.values(), ...listed, ...alive].map(place => [place.process, place] as const);
    return [...new Map(all).values()].filter(place => place.process !== ownProcess);
}

function placeOf({ process, availabilityZone, peerAddress, callerAddress }: PeerMember): EntryListing {
    return { process, availabilityZone, peerAddress, callerAddress };
}
