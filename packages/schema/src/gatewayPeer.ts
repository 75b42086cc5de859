/** Messages between gateway processes, for state that the store cannot provide at all or in time. */
import { z } from "zod";
import { EngineOrder, ServingConfig, UpstreamRecord } from "./serving";
import { maxEra } from "./storePosition";

/** An era of the store. Absent from processes of earlier builds, which know none: the receiver takes its own for it. */
const Era = z.number().int().min(0).max(maxEra).optional();

const RevisionedRecord = z.object({ value: UpstreamRecord, revision: z.number() });
const RemovedId = z.object({ id: z.string(), revision: z.number() });

/** Whether an availability zone is evacuated, as of a revision of the store. */
export const ZoneEvacuation = z.object({ zone: z.string(), isEvacuated: z.boolean(), revision: z.number() });
export type ZoneEvacuation = z.infer<typeof ZoneEvacuation>;

/** A gateway process, as registered in the store by itself. */
export const GatewayInstance = z.object({
    instance: z.string(),
    availabilityZone: z.string(),
    /** `HOST:PORT` of its listener for peers. */
    address: z.string(),
    /** Processor capacity, as a number of cores. */
    cores: z.number().optional(),
});
export type GatewayInstance = z.infer<typeof GatewayInstance>;

export const GatewayRequest = z.discriminatedUnion("kind", [
    /** Requests all cluster state newer than the sender's. */
    z.object({
        kind: z.literal("clusterState"),
        configVersion: z.number(),
        /** The revision up to which the sender knows the list of upstreams, and the store's era of it. */
        asOf: z.number(),
        era: Era,
        /** The revision up to which the sender knows all evacuations; absent if it knows none of them or is older. */
        newestEvacuation: z.number().optional(),
        evacuationsEra: Era,
        /** Whether the sender reads `packedConfig`; absent from processes of earlier builds, which do not. */
        acceptsPacked: z.boolean().optional(),
        /** Whether to confirm the configuration with the store before the answer, if that was long ago. */
        mustConfirm: z.boolean().optional(),
    }),
    /** Requests the list of gateway processes. */
    z.object({ kind: z.literal("instances") }),
    /** Requests what is known about prompt segments that end upstreams. */
    z.object({ kind: z.literal("quarantines") }),
    /** Requests that an order be forwarded to an instance that the sender cannot reach. */
    z.object({ kind: z.literal("passOrder"), upstream: UpstreamRecord, order: EngineOrder }),
    /** Asks the holder of the planning lease to permit one request to a cold upstream of the service. */
    z.object({ kind: z.literal("coldGrant"), upstream: z.string(), service: z.string() }),
]);
export type GatewayRequest = z.infer<typeof GatewayRequest>;

/** An upstream's id and a number of requests there. A tuple, because messages hold many of them. */
const UpstreamLoad = z.tuple([z.string(), z.number()]);

/** Which process holds the planning lease, and how long ago that process or a reading of the lease row stated it. */
const LeaseHolder = z.object({ instance: z.string(), fence: z.number(), ageMs: z.number().min(0) });

/**
 * Milliseconds for which long prompts that wait to be prefilled hold up other requests at each upstream. Absent if there
 * are none, and in messages of earlier builds.
 */
const UpstreamPrefills = z.array(UpstreamLoad).optional();

/**
 * For each scope that is short of capacity: its workspaces, and how many of their recent requests arrived and started, in
 * tenths of a request. Tuples, because messages hold many of them.
 */
const Usage = z.array(z.tuple([z.string(), z.array(z.tuple([z.string(), z.number(), z.number()])).max(64)])).max(16);

/** Requests at each upstream, suspected upstreams, and signs of progress. */
export const GatewayLoads = z.object({
    kind: z.literal("loads"),
    instance: z.string(),
    availabilityZone: z.string(),
    /** Requests that the sender itself has at each upstream. */
    loads: z.array(UpstreamLoad),
    prefills: UpstreamPrefills,
    /** Requests of all processes of a zone, as known to the sender, and the age of that knowledge. */
    zoneLoads: z.array(z.object({
        availabilityZone: z.string(),
        ageMs: z.number(),
        loads: z.array(UpstreamLoad),
        prefills: UpstreamPrefills,
    })),
    /** The use of workspaces that the sender itself counted, and of all processes of a zone; absent without a shortage. */
    usage: Usage.optional(),
    zoneUsage: z.array(z.object({ availabilityZone: z.string(), ageMs: z.number(), usage: Usage })).optional(),
    /** Upstreams that the sender itself recently found unresponsive or refusing requests. */
    doubts: z.array(z.string()),
    /**
     * Ids of upstreams, and the milliseconds since data last arrived from each of them, at the sender or at a process
     * that reported it to the sender.
     */
    progress: z.array(z.tuple([z.string(), z.number()])),
    /** Sent only where cold upstreams have a limit, as their requests need the holder's grants. */
    holder: LeaseHolder.optional(),
});
export type GatewayLoads = z.infer<typeof GatewayLoads>;

/** Asks a relay for notices about the cluster state for the next few seconds. */
export const StateSubscription = z.object({
    kind: z.literal("subscribe"),
    /** The sender's steady clock; the relay answers with its own. Absent in messages of earlier builds. */
    sentAtMs: z.number().optional(),
});

/** Answers a subscription that says when it was sent. */
export const SubscriptionAnswer = z.object({
    kind: z.literal("subscribed"),
    instance: z.string(),
    /** As in the subscription. */
    sentAtMs: z.number(),
    /** The relay's steady clock. */
    clockMs: z.number(),
});
export type SubscriptionAnswer = z.infer<typeof SubscriptionAnswer>;

/** Sent by a relay to its subscribers after each change, and at intervals without changes. */
export const StateNotice = z.object({
    kind: z.literal("stateNotice"),
    instance: z.string(),
    /** 0 if the relay knows no configuration. */
    configVersion: z.number(),
    /** The revision of the newest change of the list of upstreams. */
    newestChange: z.number(),
    /** The revision up to which the relay knows all evacuations; 0 from relays that know of none or are older. */
    newestEvacuation: z.number().default(0),
    /** The eras of the store in which these revisions were assigned. */
    era: Era,
    evacuationsEra: Era,
    /**
     * The latest time, on the relay's steady clock, at which no newer configuration existed. Absent if that was never confirmed,
     * and in messages of earlier builds.
     */
    configConfirmedAtMs: z.number().optional(),
    /** Whether the store answered the relay's last calls. */
    isCurrent: z.boolean(),
    /** Whether the relay is shutting down and sends no further notices. */
    isLeaving: z.boolean(),
});
export type StateNotice = z.infer<typeof StateNotice>;

/** What a zone's prober found, for the holder of the planning lease. */
export const ProbeReport = z.object({
    kind: z.literal("probeReport"),
    availabilityZone: z.string(),
    /** Instances that did not answer the last probes. */
    unreachable: z.array(z.string()),
    /** Requests, running and waiting, at the heads of open groups. */
    loads: z.array(UpstreamLoad),
});
export type ProbeReport = z.infer<typeof ProbeReport>;

/** How much one message says about prompts. Processes refuse a message that says more. */
type PromptBounds = { readonly segments: number; readonly prompts: number; readonly cleared: number };

/** The bounds of earlier builds. */
export const earlierPromptBounds: PromptBounds = { segments: 64, prompts: 64, cleared: 512 };
/** No lower than those of the evidence that a process keeps. */
const promptBounds: PromptBounds = { segments: 8_192, prompts: 8_192, cleared: 8_192 };

const boundedSegments = ({ segments }: PromptBounds) => z.array(z.string().max(64)).max(segments);

/** The segments of one prompt without the last one, and whose it is; an empty workspace stands for callers without one. */
const boundedPrompt = (bounds: PromptBounds) => z.object({ workspace: z.string(), segments: boundedSegments(bounds) });
export type Prompt = z.infer<ReturnType<typeof boundedPrompt>>;

/** The end of an upstream, and the prompts of requests that it had not begun to answer. */
const boundedCrashReport = (bounds: PromptBounds) =>
    z.object({
        /** Identifies the incarnation of the upstream. */
        crash: z.string(),
        /** The service and the model. */
        scope: z.string(),
        ageMs: z.number(),
        prompts: z.array(boundedPrompt(bounds)).max(bounds.prompts),
        /** Segments on which an upstream has written since. */
        cleared: z.array(z.string()).max(bounds.cleared),
        /** Whether the upstream has turned out not to have ended. */
        isRevoked: z.boolean(),
    });
export type CrashReport = z.infer<ReturnType<typeof boundedCrashReport>>;

/** A segment on which an upstream has written without ending: after the crashes named, or at any time if none is. */
export const SoundReport = z.object({ scope: z.string(), segment: z.string(), crashes: z.array(z.string()).max(128) });
export type SoundReport = z.infer<typeof SoundReport>;

/** A quarantine: requests whose prompt has all of its segments are held back. */
const boundedQuarantineRecord = (bounds: PromptBounds) =>
    z.object({
        scope: z.string(),
        segments: boundedSegments(bounds),
        /** The workspace whose requests alone are held back; those of all if there is none. */
        workspace: z.string().optional(),
        /** Counts how often the quarantine was imposed. */
        round: z.number().int(),
        isLifted: z.boolean(),
        crashes: z.array(z.string()).max(64),
        ageMs: z.number(),
        lastCrashAgeMs: z.number(),
        trials: z.number().int(),
        /** Negative if the next trial is due. */
        nextTrialInMs: z.number(),
    });
export type QuarantineRecord = z.infer<ReturnType<typeof boundedQuarantineRecord>>;

/** Crashes and quarantines of one message. */
const boundedQuarantines = (bounds: PromptBounds) =>
    z.object({
        crashes: z.array(boundedCrashReport(bounds)).max(128),
        quarantines: z.array(boundedQuarantineRecord(bounds)).max(128),
    });

/** What a process knows about prompt segments that end upstreams, or what of it has changed. */
export const QuarantineNews = z.object({
    kind: z.literal("quarantineNews"),
    /** The process that sent this message. */
    instance: z.string(),
    availabilityZone: z.string(),
    ...boundedQuarantines(earlierPromptBounds).shape,
    sound: z.array(SoundReport).max(4_096),
    /**
     * Crashes and quarantines that exceed the bounds of earlier builds, which do not read them. Of such a crash, `crashes`
     * has what earlier builds accept.
     */
    long: boundedQuarantines(promptBounds).optional(),
});
export type QuarantineNews = z.infer<typeof QuarantineNews>;

/** A message without an answer. */
export const GatewayMessage = z.discriminatedUnion("kind", [
    QuarantineNews,
    GatewayLoads,
    StateSubscription,
    SubscriptionAnswer,
    StateNotice,
    ProbeReport,
]);
export type GatewayMessage = z.infer<typeof GatewayMessage>;

export const GatewayAnswer = z.discriminatedUnion("kind", [
    z.object({
        kind: z.literal("clusterState"),
        /** For processes of earlier builds. */
        config: ServingConfig.optional(),
        /** The configuration as compressed JSON. */
        packedConfig: z.custom<Uint8Array>(value => value instanceof Uint8Array).optional(),
        /** Whether `records` holds all records, not only the newer ones. */
        isWhole: z.boolean(),
        records: z.array(RevisionedRecord),
        removals: z.array(RemovedId),
        asOf: z.number(),
        /** The store's era of the revisions of the records, of the removals and of `asOf`. */
        era: Era,
        /**
         * All zones with their evacuations, complete up to the revision `newest`. Absent if the sender knows nothing newer
         * than the asking process, or is older.
         */
        evacuations: z.object({ newest: z.number(), zones: z.array(ZoneEvacuation), era: Era }).optional(),
        /**
         * How long ago no configuration existed that was newer than the sender's. Absent if that was never confirmed, and in
         * answers of earlier builds.
         */
        configAgeMs: z.number().min(0).optional(),
    }),
    /** All registered processes, including the sender; empty if it has not read them yet. */
    z.object({ kind: z.literal("instances"), instances: z.array(GatewayInstance) }),
    z.object({ kind: z.literal("quarantines"), news: QuarantineNews }),
    z.object({ kind: z.literal("orderPassed"), result: z.enum(["accepted", "rejected", "unanswered"]) }),
    /** Only `granted` permits the request. A sender that is not the holder names whom it takes for it. */
    z.object({
        kind: z.literal("coldGrant"),
        result: z.enum(["granted", "overLimit", "notHolder", "newTerm", "unknown"]),
        holder: LeaseHolder.optional(),
    }),
]);
export type GatewayAnswer = z.infer<typeof GatewayAnswer>;

/** A request or answer with the number that matches them on one connection, or a message without an answer. */
export const GatewayFrame = z.discriminatedUnion("direction", [
    z.object({ direction: z.literal("ask"), number: z.number(), ask: GatewayRequest }),
    z.object({ direction: z.literal("answer"), number: z.number(), answer: GatewayAnswer }),
    z.object({ direction: z.literal("tell"), message: GatewayMessage }),
]);
export type GatewayFrame = z.infer<typeof GatewayFrame>;
