/** One link with what the peers task must remember about it. */
import { earliestSendingMs, makeNewsLedger, type NewsLedger } from "@rattanquay/core";
import { type Link } from "@rattanquay/peer";
import { type Echo, type Heartbeat, type PeerHello } from "@rattanquay/schema";

export type Connection = {
    readonly id: number;
    readonly link: Link;
    /** The address dialed, for links that this process began. */
    readonly dialed: string | undefined;
    /** Set once both sides are proved. */
    peer: PeerHello | undefined;
    readonly sendings: Map<number, number>;
    nextSequence: number;
    heard: { readonly sequence: number; readonly atMs: number } | undefined;
    readonly ledger: NewsLedger;
    summaryTold: string;
};

/** Heartbeats that an echo may still name. */
const keptSendings = 64;

type Options = Pick<Connection, "id" | "link" | "dialed"> & { readonly vouchedMaxAgeMs: number };

export function makeConnection({ id, link, dialed, vouchedMaxAgeMs }: Options): Connection {
    return {
        id,
        link,
        dialed,
        peer: undefined,
        sendings: new Map(),
        nextSequence: 1,
        heard: undefined,
        ledger: makeNewsLedger({ maxAgeMs: vouchedMaxAgeMs }),
        summaryTold: "",
    };
}

/** Notes that a heartbeat goes out now, and gives its number. */
export function noteSending(connection: Connection, nowMs: number): number {
    const sequence = connection.nextSequence++;
    connection.sendings.set(sequence, nowMs);
    connection.sendings.delete(sequence - keptSendings);
    return sequence;
}

export function echoOf({ heard }: Connection, nowMs: number): Echo | undefined {
    return heard === undefined ? undefined : { sequence: heard.sequence, heldMs: Math.floor(nowMs - heard.atMs) };
}

/** When the peer sent this heartbeat at the earliest, on this process's clock. */
export function earliestSendingOf({ sendings }: Connection, { echo }: Heartbeat, nowMs: number): number | undefined {
    return earliestSendingMs(echo, sendings, nowMs);
}

/** Whether the peer hears this process, as its echo shows. */
export function hearsUs({ sendings }: Connection, { echo }: Heartbeat, nowMs: number, withinMs: number): boolean {
    const sentAtMs = echo === undefined ? undefined : sendings.get(echo.sequence);
    return sentAtMs !== undefined && nowMs - sentAtMs <= withinMs;
}

/** Of two links to one process, both keep the one that the process with the smaller id has dialed. */
export function isPreferred(connection: Connection, ownProcess: string): boolean {
    const peer = connection.peer!.process;
    const dialer = connection.link.role === "dialer" ? ownProcess : peer;
    return dialer === (ownProcess < peer ? ownProcess : peer);
}
