/**
 * Failure detection for peers, based on received heartbeats and on this process's clock alone.
 *
 * The result only decides which process probes which instance and which peers are asked for state, so a wrong result costs
 * extra work or delay. When a peer receives none of our heartbeats, its echo stops advancing. A pause of this process does
 * not count as silence of its peers.
 */

export type MemberState = "alive" | "suspect" | "dead";

/** The addresses of a peer, and the process start (`startId`) that linked last. */
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
    /** Sequence of the last heartbeat accepted on the current link; sequences start over on each link. */
    readonly sequence: number;
    readonly revision: number;
    readonly ready: boolean;
    /** Whether its last heartbeat shows that it receives ours. */
    readonly hearsUs: boolean;
};

export type Membership = {
    readonly members: ReadonlyMap<string, PeerMember>;
    readonly advancedAtMs: number;
};

export type MembershipLimits = {
    readonly heartbeatMs: number;
    readonly suspectAfterMs: number;
    readonly deadAfterMs: number;
    /** A peer is removed after this long without a heartbeat. */
    readonly forgetAfterMs: number;
};

type HeartbeatFields = {
    readonly process: string;
    readonly startId: string;
    readonly sequence: number;
    readonly revision: number;
    readonly ready: boolean;
    readonly hearsUs: boolean;
};

export const emptyMembership: Membership = { members: new Map(), advancedAtMs: 0 };

/** Records an authenticated link. A new start of the same process replaces the old one, whose heartbeats are then ignored. */
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
    return withMember(membership, member);
}

/** Records a heartbeat. Repeated or reordered ones and those of another start are ignored; the revision never decreases. */
export function noteHeartbeat(membership: Membership, heartbeat: HeartbeatFields, nowMs: number): Membership {
    const known = membership.members.get(heartbeat.process);
    if (known === undefined || known.startId !== heartbeat.startId || heartbeat.sequence <= known.sequence) {
        return membership;
    }
    const { sequence, ready, hearsUs } = heartbeat;
    const revision = Math.max(known.revision, heartbeat.revision);
    return withMember(membership, { ...known, state: "alive", lastHeardMs: nowMs, sequence, ready, hearsUs, revision });
}

/** Advances the time: missed heartbeats make a peer suspect, then dead, and finally remove it. */
export function advanceMembership(membership: Membership, nowMs: number, limits: MembershipLimits): Membership {
    const gapMs = nowMs - membership.advancedAtMs;
    const ownPauseMs = gapMs > 2 * limits.heartbeatMs ? gapMs - limits.heartbeatMs : 0;
    const members = [...membership.members.values()]
        .map(member => updateState(member, nowMs, ownPauseMs, limits))
        .filter(member => nowMs - member.lastHeardMs < limits.forgetAfterMs);
    return { members: new Map(members.map(member => [member.process, member])), advancedAtMs: nowMs };
}

function updateState(member: PeerMember, nowMs: number, ownPauseMs: number, limits: MembershipLimits): PeerMember {
    const lastHeardMs = member.state === "dead"
        ? member.lastHeardMs
        : Math.min(nowMs, member.lastHeardMs + ownPauseMs);
    const silentMs = nowMs - lastHeardMs;
    if (member.state === "dead" || silentMs >= limits.deadAfterMs) {
        return { ...member, lastHeardMs, state: "dead" };
    }
    return { ...member, lastHeardMs, state: silentMs >= limits.suspectAfterMs ? "suspect" : "alive" };
}

function withMember(membership: Membership, member: PeerMember): Membership {
    return { ...membership, members: new Map(membership.members).set(member.process, member) };
}
