/**
 * The product's own model of what an entry instance serves: routes, services, workspaces, upstreams and engine groups. An
 * adapter decodes external formats into it once; peers forward it unchanged.
 */
import { z } from "zod";

/**
 * Whether a request may be repeated. An `idempotent` request may run more than once, a `nonIdempotent` one at most once. A
 * `streaming` answer is a series of numbered events, and may be repeated only if its route is resumable.
 */
export const RequestKind = z.enum(["idempotent", "nonIdempotent", "streaming"]);
export type RequestKind = z.infer<typeof RequestKind>;

/** Names of regions, at least one. */
const RegionNames = z.array(z.string()).min(1);

/** A service that receives a share of a route's requests. */
export const RouteTarget = z.object({ service: z.string(), weight: z.number() });

/** Matches requests, selects their services, and sets their timeouts and objectives. */
export const ServingRoute = z.object({
    name: z.string(),
    hostname: z.string(),
    /** Starts and ends with a slash. */
    prefix: z.string(),
    kind: RequestKind,
    /** The longest time that a caller waits for a final answer. */
    timeoutMs: z.number(),
    /** Answers, or first events of streams, that arrive within this time are on time. */
    objectiveMs: z.number(),
    /** The longest pause between events for which a stream is on time. */
    longestPauseMs: z.number().optional(),
    /** 0 is the most urgent. */
    priority: z.number(),
    targets: z.array(RouteTarget),
    /** The most replicas that one request may be sent to. */
    maxAttempts: z.number(),
    /** Whether requests need no key. */
    isPublic: z.boolean(),
    /** Whether a stream may continue at another replica after the last event that the caller received. */
    isResumable: z.boolean(),
    /** Regions whose upstreams may get its requests; absent if all may. */
    allowedRegions: RegionNames.optional(),
});
export type ServingRoute = z.infer<typeof ServingRoute>;

/** A model that an engine service offers, and the time that it takes to form a group for it. */
export const EngineModel = z.object({
    model: z.string(),
    groupSize: z.number(),
    /** Initial share of the service's requests that ask for this model, 0 to 1. */
    share: z.number(),
    /** Factor applied to all of the group's times. */
    pace: z.number(),
    /** Time to load the weights from the weight store. */
    loadMs: z.number(),
    /** Time to load the weights from the instance's own host. */
    warmupMs: z.number(),
});
export type EngineModel = z.infer<typeof EngineModel>;

/** Timing parameters of an engine service, used for predictions. */
export const EngineProfile = z.object({
    /** Requests that a group runs concurrently. */
    slots: z.number(),
    memoryTokens: z.number(),
    models: z.array(EngineModel),
    /** Duration of one token step; the next two add to it per running request and per 1,000 tokens of its context. */
    stepMs: z.number(),
    perRequestMs: z.number(),
    perThousandContextMs: z.number(),
    /** Steps in one pass; an event is sent after each pass. */
    stepsPerPass: z.number(),
    promptTokensPerMs: z.number(),
    /** Prompt tokens that are prefilled between two steps of the running requests; absent if a prompt is prefilled at once. */
    chunkTokens: z.number().optional(),
    /** Attention cost of a prompt per million pairs of a token and an earlier token. */
    perMillionPairsMs: z.number(),
    usualPromptTokens: z.number(),
    usualAnswerTokens: z.number(),
    /** Age of the load that an engine reports. */
    reportLagMs: z.number(),
    /** Weight store limits: loads that may start per second, and concurrent loads that do not slow each other down. */
    loadsPerSecond: z.number(),
    loadsAtOnce: z.number(),
    /** Time from an accepted `open` order until the group serves. */
    formationMs: z.number(),
});
export type EngineProfile = z.infer<typeof EngineProfile>;

/** The rate limit of upstreams that have just started or lost their caches. */
export const ColdStart = z.object({
    /** How long an upstream stays cold after its start. */
    durationMs: z.number(),
    /** Requests per second that a cold upstream tolerates from all gateway processes together. */
    requestsPerSecond: z.number(),
});
export type ColdStart = z.infer<typeof ColdStart>;

export const ServingService = z.object({
    service: z.string(),
    healthPath: z.string(),
    /** Connections that one upstream accepts from all callers together. */
    maxConnections: z.number(),
    engine: EngineProfile.optional(),
    /** Absent if its upstreams have no such limit. */
    cold: ColdStart.optional(),
});
export type ServingService = z.infer<typeof ServingService>;

export const ServingWorkspace = z.object({
    workspace: z.string(),
    keys: z.array(z.string()),
    /** Takes precedence over the route's priority. */
    priority: z.number().optional(),
    /** Regions whose upstreams may get its requests; absent if all may. Applies in addition to the route's. */
    allowedRegions: RegionNames.optional(),
});
export type ServingWorkspace = z.infer<typeof ServingWorkspace>;

/** Limits on what a caller may send. */
export const CallerLimits = z.object({
    maxHeaderBytes: z.number(),
    maxBodyBytes: z.number(),
    headerTimeoutMs: z.number(),
    idleTimeoutMs: z.number(),
});
export type CallerLimits = z.infer<typeof CallerLimits>;

/** A whole configuration. Versions only increase, and may skip numbers. */
export const ServingConfig = z.object({
    version: z.number(),
    routes: z.array(ServingRoute),
    services: z.array(ServingService),
    bounds: CallerLimits,
    /** Absent if requests need no key. */
    workspaces: z.array(ServingWorkspace).optional(),
});
export type ServingConfig = z.infer<typeof ServingConfig>;

/** The state that a member reports. Only the head can be `open` or `closing`. */
export const MembershipState = z.enum(["joining", "ready", "open", "closing", "broken", "unknown"]);
export type MembershipState = z.infer<typeof MembershipState>;

/** The group that an engine instance reports it belongs to. */
export const GroupMembership = z.object({
    group: z.string(),
    epoch: z.number(),
    /** 0 is the head, which receives the requests. */
    rank: z.number(),
    state: MembershipState,
});
export type GroupMembership = z.infer<typeof GroupMembership>;

/** One upstream, as registered by itself. */
export const UpstreamRecord = z.object({
    id: z.string(),
    service: z.string(),
    address: z.string(),
    availabilityZone: z.string(),
    /** Requests that it runs concurrently. */
    slots: z.number(),
    isDraining: z.boolean(),
    /** Start of this incarnation on the upstream's own clock; only ever compared for equality. */
    bornAtMs: z.number(),
    fabricDomain: z.string().optional(),
    /** Models whose weights are on its host. */
    stagedModels: z.array(z.string()),
    loadedModels: z.array(z.string()),
    membership: GroupMembership.optional(),
    /** How much longer it stayed cold when it wrote this record; absent if it was not cold. */
    coldForMs: z.number().optional(),
});
export type UpstreamRecord = z.infer<typeof UpstreamRecord>;

/** A group member, identified with the incarnation that was asked to join. */
export const GroupMember = z.object({ id: z.string(), bornAtMs: z.number() });

/** A group as the lease holder recorded it before sending the first order. Its name and epoch are never reused. */
export const EngineGroup = z.object({
    group: z.string().min(1),
    epoch: z.number().int().min(0),
    service: z.string(),
    model: z.string(),
    /** The first is the head. */
    members: z.array(GroupMember).min(1),
    /**
     * Start of the time in which a member has been missing while others were seen; the next lease holder continues from it.
     * It is on the clock of the process that keeps the row; in the store it is on the store's clock.
     */
    lostSinceMs: z.number().optional(),
    /** Since when a member is known to have left for good, on the same clock; its head can do no more work. */
    stalledSinceMs: z.number().optional(),
});
export type EngineGroup = z.infer<typeof EngineGroup>;

/** A day, far longer than any fetch takes. */
const maxLoadMs = 86_400_000;

/**
 * A fetch of weights from the weight store to the host of one incarnation. `beganAtMs` is on the clock of the process that
 * keeps the record; in the store it is on the store's clock.
 */
export const WeightLoad = z.object({
    id: z.string(),
    bornAtMs: z.number(),
    model: z.string(),
    beganAtMs: z.number(),
    /** Duration of the fetch when the weight store is not overloaded. */
    loadMs: z.number().min(0).max(maxLoadMs),
});
export type WeightLoad = z.infer<typeof WeightLoad>;

/** The fetches that count toward the weight store's limits, as the lease holder recorded them before ordering them. */
export const WeightLoads = z.array(WeightLoad);

/** The exclusive right to plan groups and send orders, timed by the store's monotonic clock. */
export const PlanningLease = z.object({
    holder: z.string(),
    /** Increases with each change of holder. */
    fence: z.number().int().min(0),
    untilStoreMs: z.number(),
    /** The store's era in which the term was taken; absent in rows of earlier builds. */
    era: z.number().int().min(0).optional(),
});
export type PlanningLease = z.infer<typeof PlanningLease>;

/** An engine's report of its current state, some hundred milliseconds late. */
export const EngineReport = z.object({
    bornAtMs: z.number(),
    /** Number of orders that this incarnation has accepted; the next order must state it. */
    acceptedOrders: z.number(),
    isBusy: z.boolean(),
    waiting: z.number(),
    running: z.number(),
    /** A value over 1 means that the instance is slow. */
    pace: z.number(),
    membership: GroupMembership.optional(),
});
export type EngineReport = z.infer<typeof EngineReport>;

/** An order of the group planner to one engine instance. */
export const EngineOrder = z.discriminatedUnion("kind", [
    z.object({
        kind: z.literal("join"),
        group: z.string(),
        epoch: z.number(),
        model: z.string(),
        members: z.array(z.string()),
    }),
    z.object({ kind: z.literal("open"), group: z.string(), epoch: z.number() }),
    z.object({ kind: z.literal("close"), group: z.string(), epoch: z.number(), finishesQueue: z.boolean() }),
    z.object({ kind: z.literal("leave"), group: z.string(), epoch: z.number() }),
    z.object({ kind: z.literal("stage"), model: z.string() }),
]);
export type EngineOrder = z.infer<typeof EngineOrder>;
