/**
 * Converts times on the steady clocks of peers into the earliest local times that they can stand for.
 *
 * A peer's clock is read in answer to a message of this process: what the peer read was read after the message was sent. So the
 * sending time is a lower bound, and a message that waited on a link, or in the socket of a process that was stopped, doesn't
 * look newer than it is.
 */
export type PeerClocks = {
    /** Records that a peer's clock showed `peerMs` when it answered a message that was sent at `sentAtMs`. */
    readonly noteReading: (instance: string, peerMs: number, sentAtMs: number) => void;
    /** Returns undefined if the peer's clock was not read lately, or started anew since. */
    readonly toLocalMs: (instance: string, peerMs: number, nowMs: number) => number | undefined;
};

/** Bounds by how much two clocks drift apart. */
const maxReadingAgeMs = 30_000;
const forgetAfterMs = 2 * maxReadingAgeMs;

type Reading = { readonly offsetMs: number; readonly peerMs: number; readonly sentAtMs: number };

export function makePeerClocks(): PeerClocks {
    const readings = new Map<string, Reading>();
    return {
        noteReading: (instance, peerMs, sentAtMs) => {
            const known = readings.get(instance);
            const next: Reading = { offsetMs: sentAtMs - peerMs, peerMs, sentAtMs };
            const isOutdated = known === undefined || sentAtMs - known.sentAtMs > maxReadingAgeMs
                || peerMs < known.peerMs;
            // Of two readings of one clock, the one that took less time bounds it more closely.
            if (isOutdated || next.offsetMs >= known.offsetMs) {
                readings.set(instance, next);
            }
            dropOutdated(readings, sentAtMs);
        },
        toLocalMs: (instance, peerMs, nowMs) => {
            const known = readings.get(instance);
            if (known === undefined || nowMs - known.sentAtMs > forgetAfterMs) {
                return undefined;
            }
            const localMs = known.offsetMs + peerMs;
            return localMs > nowMs ? undefined : localMs;
        },
    };
}

/** Clocks of peers that are gone are not kept: each restart of a machine may bring another name. */
function dropOutdated(readings: Map<string, Reading>, nowMs: number): void {
    for (const [instance, { sentAtMs }] of readings) {
        if (nowMs - sentAtMs > forgetAfterMs) {
            readings.delete(instance);
        }
    }
}
