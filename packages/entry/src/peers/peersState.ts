/** What the peers task owns: links, membership, and remembered places. */
import { type Membership, noMembers, type PeerMember } from "@rattanquay/core";
import { type Traffic } from "@rattanquay/peer";
import { type EntryPlace, type PeerHello } from "@rattanquay/schema";
import { type Surroundings } from "../surroundings";
import { type Connection } from "./connection";
import { type Dialing, makeDialing } from "./dialing";

export type PeersState = {
    membership: Membership;
    readonly connections: Map<number, Connection>;
    readonly remembered: Map<string, EntryPlace>;
    readonly summaries: Map<string, ReadonlyMap<string, number>>;
    readonly dialing: Dialing;
    /** Addresses that turned out to be this process's own. */
    readonly ownAddresses: Set<string>;
    askNotBeforeMs: number;
    /** What the metrics have counted so far. */
    counted: { readonly bytes: number; readonly messages: number };
    caughtUp: boolean;
    readonly startedAtMs: number;
    readonly takeId: () => number;
    /** Everyone known: the platform's list, overlaid by what linked peers say of themselves. */
    readonly places: (listed: readonly EntryPlace[]) => readonly EntryPlace[];
    readonly traffic: () => { readonly bytes: number; readonly messages: number };
    /** Keeps a closed link's counts. */
    readonly noteClosed: (traffic: Traffic) => void;
};

export function makePeersState({ timer, random }: Surroundings, own: Omit<PeerHello, "nonce">): PeersState {
    const closed = { bytes: 0, messages: 0 };
    let nextId = 1;
    const state: PeersState = {
        membership: noMembers,
        connections: new Map(),
        remembered: new Map(),
        summaries: new Map(),
        dialing: makeDialing({ ownProcess: own.process, nowMs: timer.nowMs, random }),
        ownAddresses: new Set([own.peerAddress]),
        askNotBeforeMs: 0,
        counted: { bytes: 0, messages: 0 },
        caughtUp: false,
        startedAtMs: timer.nowMs(),
        takeId: () => nextId++,
        places: listed => mergePlaces(state, listed, own.process),
        traffic: () => {
            const open = [...state.connections.values()].map(({ link }) => link.traffic());
            return open.reduce((sum, traffic) => ({
                bytes: sum.bytes + traffic.bytesIn + traffic.bytesOut,
                messages: sum.messages + traffic.messagesIn + traffic.messagesOut,
            }), { ...closed });
        },
        noteClosed: traffic => {
            closed.bytes += traffic.bytesIn + traffic.bytesOut;
            closed.messages += traffic.messagesIn + traffic.messagesOut;
        },
    };
    return state;
}

function mergePlaces(state: PeersState, listed: readonly EntryPlace[], ownProcess: string): readonly EntryPlace[] {
    const alive = [...state.membership.members.values()].filter(member => member.state === "alive").map(placeOf);
    const all = [...state.remembered.values(), ...listed, ...alive].map(place => [place.process, place] as const);
    return [...new Map(all).values()].filter(place => place.process !== ownProcess);
}

function placeOf({ process, availabilityZone, peerAddress, callerAddress }: PeerMember): EntryPlace {
    return { process, availabilityZone, peerAddress, callerAddress };
}
