/** Messages between entry instances. A message of an unknown kind comes from a newer release and is ignored. */
import { z } from "zod";
import { EngineLoad, ServerInfo } from "./engine";
import { EntryListing, Instance } from "./fleet";
import { GroupRow } from "./rows";
import { Recall, Service, Workspace } from "./ticket";

/** The first frame in each direction. The `PeerProof` that follows authenticates its exact bytes. */
export const PeerHello = z.object({
    lowestVersion: z.number().int(),
    highestVersion: z.number().int(),
    process: z.string().min(1),
    /** Differs for each start of the process. */
    startId: z.string().min(1),
    region: z.string(),
    availabilityZone: z.string(),
    peerAddress: z.string(),
    callerAddress: z.string(),
    nonce: z.string().min(16),
});
export type PeerHello = z.infer<typeof PeerHello>;

export const PeerProof = z.object({ proof: z.string() });
export type PeerProof = z.infer<typeof PeerProof>;

/**
 * Changes in a prober's own probe results since the last update on the same link. A slot identifies an instance for the
 * lifetime of the link. The contents of every slot were probed at most `oldestAgeMs` before the update was sent.
 */
export const EvidenceUpdate = z.object({
    oldestAgeMs: z.number(),
    changes: z.array(z.object({ slot: z.number(), info: ServerInfo })),
    loads: z.array(z.object({ slot: z.number(), load: EngineLoad })),
    lapsed: z.array(z.number()),
});
export type EvidenceUpdate = z.infer<typeof EvidenceUpdate>;

/** The last heartbeat received from the receiver, and the time since then by the sender's clock, as a duration only. */
const Echo = z.object({ sequence: z.number(), heldMs: z.number() });
export type Echo = z.infer<typeof Echo>;

const Heartbeat = z.object({
    kind: z.literal("heartbeat"),
    sequence: z.number(),
    echo: Echo.optional(),
    revision: z.number(),
    /** The sender's version of the zone's rows; only peers of the same zone compare it. */
    zoneVersion: z.number(),
    ready: z.boolean(),
    news: EvidenceUpdate.optional(),
});
export type Heartbeat = z.infer<typeof Heartbeat>;

/** A whole configuration, as sent to a peer. */
export const SnapshotMessage = z.object({
    revision: z.number(),
    highestTicket: z.number(),
    services: z.array(z.object({ name: z.string(), state: Service })),
    workspaces: z.array(z.object({ name: z.string(), state: Workspace })),
    recalls: z.array(z.object({ name: z.string(), state: Recall })),
});
export type SnapshotMessage = z.infer<typeof SnapshotMessage>;

/** A zone's groups and instances, as sent to a process that cannot read the platform. */
export const ZoneMessage = z.object({
    version: z.number(),
    groups: z.array(GroupRow),
    instances: z.array(Instance),
});
export type ZoneMessage = z.infer<typeof ZoneMessage>;

/** The configuration revision that one process has, as known to another. */
export const ConfigProgress = z.object({ process: z.string(), revision: z.number(), heard: z.boolean() });
export type ConfigProgress = z.infer<typeof ConfigProgress>;

export const PeerMessage = z.discriminatedUnion("kind", [
    Heartbeat,
    /** Requests newer state, and the addresses of other processes if the platform does not provide them. */
    z.object({
        kind: z.literal("stateAsk"),
        revision: z.number(),
        zoneVersion: z.number(),
        wantsPlaces: z.boolean(),
    }),
    z.object({
        kind: z.literal("state"),
        snapshot: SnapshotMessage.optional(),
        zone: ZoneMessage.optional(),
        places: z.array(EntryListing),
    }),
    z.object({ kind: z.literal("progressAsk"), ask: z.number() }),
    z.object({ kind: z.literal("progress"), ask: z.number(), processes: z.array(ConfigProgress) }),
    z.object({
        kind: z.literal("zoneSummary"),
        services: z.array(z.object({ service: z.string(), serving: z.number() })),
    }),
]);
export type PeerMessage = z.infer<typeof PeerMessage>;
