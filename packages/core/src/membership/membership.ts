/**
 * Which peers are alive, by the heartbeats that reached this process, on its own clock alone.
 *
 * It decides who probes what and whom to ask, and that is all: a wrong verdict costs work or delay. A peer that hears
 * nothing of us shows by an echo that stands still; a pause of our own is not held against the peers.
 */

export type MemberState = "alive" | "suspect" | "dead";

/** How to reach a peer, and which start of it spoke last. */
type Identity = {
    readonly process: string;
    readonly startId: string;
    readonly availabilityZone: string;
    readonly peerAddress: string;
    readonly callerAddress: string;
};

export type PeerMember = Identity & {
    readonly state: MemberState;
    readonly lastHeardMs: number;
    /** The last heartbeat counted on the present link, on which numbers begin anew. */
    readonly sequence: number;
    readonly revision: number;
    readonly ready: boolean;
    /** Whether its last heartbeat shows that it hears ours. */
    readonly hearsUs: boolean;
};

export type Membership = {
    readonly members: ReadonlyMap<string, PeerMember>;
    readonly tickedAtMs: number;
};

export type MembershipLimits = {
    readonly heartbeatMs: number;
    readonly suspectAfterMs: number;
    readonly deadAfterMs: number;
    /** A dead peer is forgotten after this long. */
    readonly forgetAfterMs: number;
};

type Beat = {
    readonly process: string;
    readonly startId: string;
    readonly sequence: number;
    readonly revision: number;
    readonly ready: boolean;
    readonly hearsUs: boolean;
};

export const noMembers: Membership = { members: new Map(), tickedAtMs: 0 };

/** A proved link is up. A new start of the same process takes the place of the old one, whose news counts no more. */
export function noteLinked(membership: Membership, identity: Identity, nowMs: number): Membership {
    const known = membership.members.get(identity.process);
    const member: PeerMember = known?.startId === identity.startId
        ? { ...known, ...identity, state: "alive", lastHeardMs: nowMs, sequence: 0 }
        : {
            ...identity,
            state: "alive",
            lastHeardMs: nowMs,
            sequence: 0,
            revision: 0,
            ready: false,
            hearsUs: false,
        };
    return put(membership, member);
}

/** A heartbeat counts once, in its order, and only from the start that is known; what it tells never goes back. */
export function noteHeartbeat(membership: Membership, beat: Beat, nowMs: number): Membership {
    const known = membership.members.get(beat.process);
    if (known === undefined || known.startId !== beat.startId || beat.sequence <= known.sequence) {
        return membership;
    }
    const { sequence, ready, hearsUs } = beat;
    const revision = Math.max(known.revision, beat.revision);
    return put(membership, { ...known, state: "alive", lastHeardMs: nowMs, sequence, ready, hearsUs, revision });
}

/** Lets time pass: missed heartbeats make a peer suspect, then dead, then forgotten. */
export function tickMembership(membership: Membership, nowMs: number, limits: MembershipLimits): Membership {
    const gapMs = nowMs - membership.tickedAtMs;
    const ownPauseMs = gapMs > 2 * limits.heartbeatMs ? gapMs - limits.heartbeatMs : 0;
    const members = [...membership.members.values()]
        .map(member => judge(member, nowMs, ownPauseMs, limits))
        .filter(member => nowMs - member.lastHeardMs < limits.forgetAfterMs);
    return { members: new Map(members.map(member => [member.process, member])), tickedAtMs: nowMs };
}

function judge(member: PeerMember, nowMs: number, ownPauseMs: number, limits: MembershipLimits): PeerMember {
    const lastHeardMs = member.state === "dead"
        ? member.lastHeardMs
        : Math.min(nowMs, member.lastHeardMs + ownPauseMs);
    const silentMs = nowMs - lastHeardMs;
    if (member.state === "dead" || silentMs >= limits.deadAfterMs) {
        return { ...member, lastHeardMs, state: "dead" };
    }
    return { ...member, lastHeardMs, state: silentMs >= limits.suspectAfterMs ? "suspect" : "alive" };
}

function put(membership: Membership, member: PeerMember): Membership {
    return { ...membership, members: new Map(membership.members).set(member.process, member) };
}
