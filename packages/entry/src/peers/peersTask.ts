/**
 * Keeps links to the other entry instances, tells them what changed here, and learns from them what is newer.
 *
 * Peers are found through the platform's list, through seeds in the settings, and through what linked peers remember.
 */
import { type Hash, type PeerMember } from "@rattanquay/core";
import { tlsOptions } from "@rattanquay/http";
import { dial, type LinkEvent, startLink, startPeerListener } from "@rattanquay/peer";
import { type PeerHello, type Progress, type Settings } from "@rattanquay/schema";
import { type Feed, makeSource, startTask } from "@rattanquay/task";
import { type Cancel, type Timer } from "@rattanquay/timer";
import { randomUUID } from "node:crypto";
import { type Socket } from "node:net";
import { type Config } from "../config";
import { type Fleet } from "../fleet";
import { type Surroundings } from "../surroundings";
import { makeConnection } from "./connection";
import { makePeersHandlers, type PeersMessage } from "./peersHandlers";
import { makePeersState } from "./peersState";
import { makeProgressAsks } from "./progressAsks";

/** The peers as this process knows them. */
export type PeersKnowledge = {
    readonly members: readonly PeerMember[];
    /** Serving replicas by service in other zones, as their entry instances tell. */
    readonly summaries: ReadonlyMap<string, ReadonlyMap<string, number>>;
    /** Whether this process knows a state that is not older than that of its peers. */
    readonly caughtUp: boolean;
};

export type Peers = {
    readonly port: number;
    readonly feed: Feed<PeersKnowledge>;
    readonly progress: () => Promise<readonly Progress[]>;
    /** The caller address of an entry instance in another zone where the service is served. */
    readonly spillTarget: (service: string) => string | undefined;
    /** Bytes and messages since the start, over all links. */
    readonly traffic: () => { readonly bytes: number; readonly messages: number };
    readonly stop: () => void;
};

type Options = {
    readonly surroundings: Surroundings;
    readonly configuration: Config;
    readonly fleet: Fleet;
    readonly hash: Hash;
    readonly callerPort: number;
    readonly isReady: () => boolean;
};

const lowestVersion = 1;
const highestVersion = 1;
const dialIntervalMs = 250;

export async function startPeers(options: Options): Promise<Peers> {
    const { surroundings, configuration, fleet, callerPort } = options;
    const { settings, timer, onBroken } = surroundings;
    const tls = settings.listeners.peers.tls === undefined ? undefined : tlsOptions(settings.listeners.peers.tls);
    const listener = await startPeerListener({
        host: settings.listeners.peers.host,
        port: settings.listeners.peers.port,
        ...(tls === undefined ? {} : { tls }),
        onSocket: socket => open(socket, undefined),
    });
    const own = introduce(settings, listener.port, callerPort);
    const source = makeSource<PeersKnowledge>({ members: [], summaries: new Map(), caughtUp: false });
    const state = makePeersState(surroundings, own);
    const asks = makeProgressAsks({
        timer,
        ownZone: own.availabilityZone,
        own: () => ({ process: own.process, revision: configuration.feed.latest().snapshot.revision, heard: true }),
        members: () => [...state.membership.members.values()],
        connections: () => [...state.connections.values()],
        places: () => state.places(fleet.feed.latest().entries),
    });

    const open = (socket: Socket, dialed: string | undefined): void => {
        const id = state.takeId();
        const onEvent = (event: LinkEvent): void => mailbox.send({ kind: "event", id, event });
        const link = startLink({
            socket,
            role: dialed === undefined ? "listener" : "dialer",
            own: { ...own, nonce: randomUUID() },
            secret: settings.peers.secret,
            maxFrameBytes: settings.peers.maxFrameBytes,
            timer,
            onEvent,
            onBroken,
        });
        const vouchedMaxAgeMs = settings.intervals.evidenceMaxAgeMs / 2;
        state.connections.set(id, makeConnection({ id, link, dialed, vouchedMaxAgeMs }));
    };

    const mailbox = startTask<PeersMessage>({
        name: "peers",
        onBroken,
        handlers: makePeersHandlers({
            ...options,
            own,
            state,
            source,
            asks,
            dialTo: address => open(dial(address, { tls, localAddress: settings.peers.dialFrom }), address),
        }),
    });
    const cancels = [
        everyFrom(timer, settings.intervals.heartbeatMs / 2, settings.intervals.heartbeatMs, () => {
            mailbox.send({ kind: "beat" });
        }),
        timer.every(dialIntervalMs, () => mailbox.sendIfIdle({ kind: "dial" })),
    ];
    return {
        port: listener.port,
        feed: source,
        progress: asks.everywhere,
        spillTarget: service => spillTarget(source.latest(), own.availabilityZone, service, surroundings.random),
        traffic: state.traffic,
        stop: () => {
            cancels.forEach(cancel => cancel());
            listener.close();
            state.connections.forEach(connection => connection.link.close("stopped"));
            mailbox.close();
        },
    };
}

/** What this start of the process says of itself on each link. */
function introduce(
    { process, listeners }: Settings,
    peerPort: number,
    callerPort: number,
): Omit<PeerHello, "nonce"> {
    return {
        lowestVersion,
        highestVersion,
        process: process.id,
        startId: randomUUID(),
        region: process.region,
        availabilityZone: process.availabilityZone,
        peerAddress: `${process.address}:${listeners.peers.advertisedPort ?? peerPort}`,
        callerAddress: `${process.address}:${listeners.callers.advertisedPort ?? callerPort}`,
    };
}

/** Heartbeats go out half an interval after the probes, so that they carry what those have just found. */
function everyFrom(timer: Timer, delayMs: number, periodMs: number, action: () => void): Cancel {
    let cancel = timer.after(delayMs, () => {
        cancel = timer.every(periodMs, action);
    });
    return () => cancel();
}

/** Draws one of the linked entry instances in zones where the service is served. */
function spillTarget(
    { members, summaries }: PeersKnowledge,
    ownZone: string,
    service: string,
    random: () => number,
): string | undefined {
    const able = members.filter(member =>
        member.availabilityZone !== ownZone && member.state === "alive" && member.ready
        && (summaries.get(member.process)?.get(service) ?? 0) > 0
    );
    return able[Math.floor(random() * able.length)]?.callerAddress;
}
