/** What entry instances say to each other. A message whose kind is unknown comes from a newer release and is passed over. */
import { z } from "zod";
import { EngineLoad, ServerInfo } from "./engine";
import { EntryPlace, Instance } from "./fleet";
import { GroupRow } from "./rows";
import { Recall, Service, Workspace } from "./ticket";

/** The first frame in each direction. The proof that follows covers its exact bytes. */
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
 * What a prober knows by its own probes, as changes since the last news on the same link. A slot stands for an instance
 * for as long as the link lasts. Everything in a slot was probed at most `oldestAgeMs` before the news was sent.
 */
export const EvidenceNews = z.object({
    oldestAgeMs: z.number(),
    changes: z.array(z.object({ slot: z.number(), info: ServerInfo })),
    loads: z.array(z.object({ slot: z.number(), load: EngineLoad })),
    lapsed: z.array(z.number()),
});
export type EvidenceNews = z.infer<typeof EvidenceNews>;

/** The last heartbeat heard from the receiver, and how long ago by the sender's clock: a duration, never an instant. */
const Echo = z.object({ sequence: z.number(), heldMs: z.number() });
export type Echo = z.infer<typeof Echo>;

const Heartbeat = z.object({
    kind: z.literal("heartbeat"),
    sequence: z.number(),
    echo: Echo.optional(),
    revision: z.number(),
    /** The version of the zone's rows that the sender knows; only peers of the same zone compare it. */
    zoneVersion: z.number(),
    ready: z.boolean(),
    news: EvidenceNews.optional(),
});
export type Heartbeat = z.infer<typeof Heartbeat>;

/** A whole configuration, as it is passed on. */
export const PassedSnapshot = z.object({
    revision: z.number(),
    highestTicket: z.number(),
    services: z.array(z.object({ name: z.string(), state: Service })),
    workspaces: z.array(z.object({ name: z.string(), state: Workspace })),
    recalls: z.array(z.object({ name: z.string(), state: Recall })),
});
export type PassedSnapshot = z.infer<typeof PassedSnapshot>;

/** A zone's groups and instances, as they are passed on to a process that cannot read the platform. */
export const PassedZone = z.object({
    version: z.number(),
    groups: z.array(GroupRow),
    instances: z.array(Instance),
});
export type PassedZone = z.infer<typeof PassedZone>;

/** How far one process is, as another knows it. */
export const Progress = z.object({ process: z.string(), revision: z.number(), heard: z.boolean() });
export type Progress = z.infer<typeof Progress>;

export const PeerMessage = z.discriminatedUnion("kind", [
    Heartbeat,
    /** Asks for what is newer than this, and for where other processes are when the platform does not tell. */
    z.object({
        kind: z.literal("stateAsk"),
        revision: z.number(),
        zoneVersion: z.number(),
        wantsPlaces: z.boolean(),
    }),
    z.object({
        kind: z.literal("state"),
        snapshot: PassedSnapshot.optional(),
        zone: PassedZone.optional(),
        places: z.array(EntryPlace),
    }),
    z.object({ kind: z.literal("progressAsk"), ask: z.number() }),
    z.object({ kind: z.literal("progress"), ask: z.number(), processes: z.array(Progress) }),
    z.object({
        kind: z.literal("zoneSummary"),
        services: z.array(z.object({ service: z.string(), serving: z.number() })),
    }),
]);
export type PeerMessage = z.infer<typeof PeerMessage>;
