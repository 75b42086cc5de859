/** A link to a peer and the state that the peers task keeps for it. */
import { earliestSendTimeMs, type EvidenceChangeTracker, makeEvidenceChangeTracker } from "@rattanquay/core";
import { type Link } from "@rattanquay/peer";
import { type Echo, type Heartbeat, type PeerHello } from "@rattanquay/schema";

export type Connection = {
    readonly id: number;
    readonly link: Link;
    /** The address dialed, for links that this process opened. */
    readonly dialed: string | undefined;
    /** Set once both sides are authenticated. */
    peer: PeerHello | undefined;
    /** When each recent heartbeat was sent, by sequence number. */
    readonly sendTimes: Map<number, number>;
    nextSequence: number;
    /** The last heartbeat received on this link. */
    heard: { readonly sequence: number; readonly atMs: number } | undefined;
    /** The bytes received so far, and when their number was last seen to grow. */
    received: { readonly bytes: number; readonly atMs: number } | undefined;
    readonly evidenceTracker: EvidenceChangeTracker;
    /** The last zone summary sent, as JSON. */
    lastSummary: string;
};

/** The number of latest heartbeats whose send times are kept; echoes of older ones are not recognized. */
const maxTrackedSends = 64;

type Options = Pick<Connection, "id" | "link" | "dialed"> & { readonly sharedEvidenceMaxAgeMs: number };

export function makeConnection({ id, link, dialed, sharedEvidenceMaxAgeMs }: Options): Connection {
    return {
        id,
        link,
        dialed,
        peer: undefined,
        sendTimes: new Map(),
        nextSequence: 1,
        heard: undefined,
        received: undefined,
        evidenceTracker: makeEvidenceChangeTracker({ maxAgeMs: sharedEvidenceMaxAgeMs }),
        lastSummary: "",
    };
}

/** Notes whether bytes have been received since the last call. */
export function noteReceivedBytes(connection: Connection, nowMs: number): void {
    const bytes = connection.link.traffic().bytesIn;
    if (bytes !== connection.received?.bytes) {
        connection.received = { bytes, atMs: nowMs };
    }
}

/** Records that a heartbeat is sent now, and returns its sequence number. */
export function recordSend(connection: Connection, nowMs: number): number {
    const sequence = connection.nextSequence++;
    connection.sendTimes.set(sequence, nowMs);
    connection.sendTimes.delete(sequence - maxTrackedSends);
    return sequence;
}

export function echoOf({ heard }: Connection, nowMs: number): Echo | undefined {
    return heard === undefined ? undefined : { sequence: heard.sequence, heldMs: Math.floor(nowMs - heard.atMs) };
}

/** The earliest time at which the peer can have sent this heartbeat, on this process's clock. */
export function earliestSendTimeOf({ sendTimes }: Connection, { echo }: Heartbeat, nowMs: number): number | undefined {
    return earliestSendTimeMs(echo, sendTimes, nowMs);
}

/** Whether the peer's echo names a heartbeat that this process sent within the last `withinMs`. */
export function receivesOurHeartbeats(
    { sendTimes }: Connection,
    { echo }: Heartbeat,
    nowMs: number,
    withinMs: number,
): boolean {
    const sentAtMs = echo === undefined ? undefined : sendTimes.get(echo.sequence);
    return sentAtMs !== undefined && nowMs - sentAtMs <= withinMs;
}

/** If two processes are connected by two links, both keep the one dialed by the process with the smaller id. */
export function isPreferred(connection: Connection, ownProcess: string): boolean {
    const peer = connection.peer!.process;
    const dialer = connection.link.role === "dialer" ? ownProcess : peer;
    return dialer === (ownProcess < peer ? ownProcess : peer);
}
