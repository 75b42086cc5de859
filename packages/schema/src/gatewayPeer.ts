/** Messages between gateway processes, for state that the store cannot provide at all or in time. */
import { z } from "zod";
import { EngineOrder, ServingConfig, UpstreamRecord } from "./serving";

const RevisionedRecord = z.object({ value: UpstreamRecord, revision: z.number() });
const RemovedId = z.object({ id: z.string(), revision: z.number() });

export const GatewayRequest = z.discriminatedUnion("kind", [
    /** Requests all state newer than the sender's. */
    z.object({ kind: z.literal("beliefs"), configVersion: z.number(), asOf: z.number() }),
    /** Requests that an order be forwarded to an instance that the sender cannot reach. */
    z.object({ kind: z.literal("passOrder"), upstream: UpstreamRecord, order: EngineOrder }),
]);
export type GatewayRequest = z.infer<typeof GatewayRequest>;

const UpstreamLoad = z.object({ upstream: z.string(), running: z.number() });

/** Message without an answer: requests at each upstream, suspected upstreams, and signs of progress. */
export const GatewayLoads = z.object({
    instance: z.string(),
    availabilityZone: z.string(),
    /** Requests that the sender itself has at each upstream. */
    loads: z.array(UpstreamLoad),
    /** Requests of all processes of a zone, as known to the sender, and the age of that knowledge. */
    zoneLoads: z.array(z.object({ availabilityZone: z.string(), ageMs: z.number(), loads: z.array(UpstreamLoad) })),
    /** Upstreams that the sender itself recently found unresponsive or refusing requests. */
    doubts: z.array(z.string()),
    /** Time since data last arrived from an upstream, at the sender or at a process that reported it to the sender. */
    progress: z.array(z.object({ upstream: z.string(), ageMs: z.number() })),
});
export type GatewayLoads = z.infer<typeof GatewayLoads>;

export const GatewayAnswer = z.discriminatedUnion("kind", [
    z.object({
        kind: z.literal("beliefs"),
        config: ServingConfig.optional(),
        /** Whether `records` holds all records, not only the newer ones. */
        isWhole: z.boolean(),
        records: z.array(RevisionedRecord),
        removals: z.array(RemovedId),
        asOf: z.number(),
    }),
    z.object({ kind: z.literal("orderPassed"), result: z.enum(["accepted", "rejected", "unanswered"]) }),
]);
export type GatewayAnswer = z.infer<typeof GatewayAnswer>;

/** A request or answer with the number that matches them on one connection, or a message without an answer. */
export const GatewayFrame = z.discriminatedUnion("direction", [
    z.object({ direction: z.literal("ask"), number: z.number(), ask: GatewayRequest }),
    z.object({ direction: z.literal("answer"), number: z.number(), answer: GatewayAnswer }),
    z.object({ direction: z.literal("tell"), loads: GatewayLoads }),
]);
export type GatewayFrame = z.infer<typeof GatewayFrame>;

/** A gateway process, as registered in the store by itself. */
export const GatewayInstance = z.object({
    instance: z.string(),
    availabilityZone: z.string(),
    /** `HOST:PORT` of its listener for peers. */
    address: z.string(),
});
export type GatewayInstance = z.infer<typeof GatewayInstance>;
