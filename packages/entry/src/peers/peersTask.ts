/**
 * Maintains links to the other entry instances, sends them local changes, and receives newer state from them.
 *
 * Peers are found through the platform's list, the seeds in the settings, and the addresses that linked peers send.
 */
import { type Hash, type PeerMember } from "@rattanquay/core";
import { dial, type LinkEvent, startLink, startPeerListener } from "@rattanquay/peer";
import { type ConfigProgress, type PeerHello, type Settings } from "@rattanquay/schema";
import { makeValuePublisher, type ObservableValue, startTask } from "@rattanquay/task";
import { type Cancel, type Timer } from "@rattanquay/timer";
import { randomUUID } from "node:crypto";
import { type Socket } from "node:net";
import { type ConfigTask } from "../config";
import { type Fleet } from "../fleet";
import { tlsOptions } from "../listener";
import { type ProcessContext } from "../processContext";
import { makeConnection } from "./connection";
import { makePeersHandlers, type PeersMessage } from "./peersHandlers";
import { makePeersState } from "./peersState";
import { makeProgressRequests } from "./progressRequests";

/** The state of the peers as this process observes it. */
export type ObservedPeers = {
    readonly members: readonly PeerMember[];
    /** Serving replicas by service in other zones, as reported by each of their entry instances. */
    readonly summaries: ReadonlyMap<string, ReadonlyMap<string, number>>;
    /** Whether this process has ever had state no older than that of its peers; stays true. */
    readonly caughtUp: boolean;
};

export type Peers = {
    readonly port: number;
    readonly feed: ObservableValue<ObservedPeers>;
    /** The configuration revision of every known process. */
    readonly progress: () => Promise<readonly ConfigProgress[]>;
    /** The caller address of a ready entry instance in another zone that has serving replicas of the service. */
    readonly spillTarget: (service: string) => string | undefined;
    /** Bytes and messages since the start, over all links. */
    readonly traffic: () => { readonly bytes: number; readonly messages: number };
    readonly stop: () => void;
};

type Options = {
    readonly context: ProcessContext;
    readonly configuration: ConfigTask;
    readonly fleet: Fleet;
    readonly hash: Hash;
    readonly callerPort: number;
    readonly isReady: () => boolean;
};

const lowestVersion = 1;
const highestVersion = 1;
const dialIntervalMs = 250;

export async function startPeers(options: Options): Promise<Peers> {
    const { context, configuration, fleet, callerPort } = options;
    const { settings, timer, onFatalError } = context;
    const tls = settings.listeners.peers.tls === undefined ? undefined : tlsOptions(settings.listeners.peers.tls);
    const listener = await startPeerListener({
        host: settings.listeners.peers.host,
        port: settings.listeners.peers.port,
        ...(tls === undefined ? {} : { tls }),
        onSocket: socket => open(socket, undefined),
    });
    const own = makeHello(settings, listener.port, callerPort);
    const source = makeValuePublisher<ObservedPeers>({ members: [], summaries: new Map(), caughtUp: false });
    const state = makePeersState(context, own);
    const progressRequests = makeProgressRequests({
        timer,
        ownZone: own.availabilityZone,
        own: () => ({ process: own.process, revision: configuration.feed.latest().snapshot.revision, heard: true }),
        members: () => [...state.membership.members.values()],
        connections: () => [...state.connections.values()],
        places: () => state.places(fleet.feed.latest().entries),
    });

    const open = (socket: Socket, dialed: string | undefined): void => {
        const id = state.nextConnectionId();
        const onEvent = (event: LinkEvent): void => mailbox.send({ kind: "event", id, event });
        const link = startLink({
            socket,
            role: dialed === undefined ? "listener" : "dialer",
            own: { ...own, nonce: randomUUID() },
            secret: settings.peers.secret,
            maxFrameBytes: settings.peers.maxFrameBytes,
            timer,
            onEvent,
            onFatalError,
        });
        const sharedEvidenceMaxAgeMs = settings.intervals.evidenceMaxAgeMs / 2;
        state.connections.set(id, makeConnection({ id, link, dialed, sharedEvidenceMaxAgeMs }));
    };

    const mailbox = startTask<PeersMessage>({
        name: "peers",
        onFatalError,
        handlers: makePeersHandlers({
            ...options,
            own,
            state,
            source,
            progressRequests,
            dialTo: address => open(dial(address, { tls, localAddress: settings.peers.dialFrom }), address),
        }),
    });
    const cancels = [
        everyAfterDelay(timer, settings.intervals.heartbeatMs / 2, settings.intervals.heartbeatMs, () => {
            mailbox.send({ kind: "sendHeartbeats" });
        }),
        timer.every(dialIntervalMs, () => mailbox.sendIfIdle({ kind: "dialPeers" })),
    ];
    return {
        port: listener.port,
        feed: source,
        progress: progressRequests.allZones,
        spillTarget: service => spillTarget(source.latest(), own.availabilityZone, service, context.random),
        traffic: state.traffic,
        stop: () => {
            cancels.forEach(cancel => cancel());
            listener.close();
            state.connections.forEach(connection => connection.link.close("stopped"));
            mailbox.close();
        },
    };
}

/** The hello that this process sends on each link, without its nonce. `startId` differs after each restart. */
function makeHello(
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

/** Delays the first heartbeat by half an interval, so that heartbeats carry the results of the probes just sent. */
function everyAfterDelay(timer: Timer, delayMs: number, periodMs: number, action: () => void): Cancel {
    let cancel = timer.after(delayMs, () => {
        cancel = timer.every(periodMs, action);
    });
    return () => cancel();
}

/** Picks at random an alive, ready peer in another zone whose summary shows serving replicas of the service. */
function spillTarget(
    { members, summaries }: ObservedPeers,
    ownZone: string,
    service: string,
    random: () => number,
): string | undefined {
    const candidates = members.filter(member =>
        member.availabilityZone !== ownZone && member.state === "alive" && member.ready
        && (summaries.get(member.process)?.get(service) ?? 0) > 0
    );
    return candidates[Math.floor(random() * candidates.length)]?.callerAddress;
}
