/**
 * Rows in the platform's table. `version` grows with each write; `token` identifies the write, so that a writer whose answer
 * was lost can find out whether it took effect.
 */
import { z } from "zod";
import { Recall, Service, Workspace } from "./ticket";

/** The head row of the configuration. The revision increases by one with each accepted ticket. */
export const HeadRow = z.object({
    revision: z.number(),
    highestTicket: z.number(),
    /** Tickets up to this number may have been deleted; they are no longer accepted. */
    evictedThrough: z.number().default(0),
});
export type HeadRow = z.infer<typeof HeadRow>;

/** The state of one subject, set by the newest ticket that touched it; removed subjects remain as tombstones. */
export const SubjectRow = z.discriminatedUnion("kind", [
    z.object({
        kind: z.literal("service"),
        name: z.string(),
        ticket: z.number(),
        revision: z.number(),
        state: Service.optional(),
    }),
    z.object({
        kind: z.literal("workspace"),
        name: z.string(),
        ticket: z.number(),
        revision: z.number(),
        state: Workspace.optional(),
    }),
    z.object({
        kind: z.literal("recall"),
        name: z.string(),
        ticket: z.number(),
        revision: z.number(),
        state: Recall.optional(),
    }),
]);
export type SubjectRow = z.infer<typeof SubjectRow>;

/** An accepted ticket. `digest` is the digest of its canonical content. */
export const TicketRow = z.object({
    ticket: z.number(),
    digest: z.string(),
    revision: z.number(),
    author: z.string(),
    reason: z.string(),
    subjects: z.array(z.string()),
    content: z.unknown(),
});
export type TicketRow = z.infer<typeof TicketRow>;

/** The number of the ticket in one slot of the ring of kept tickets. */
export const SlotRow = z.object({ ticket: z.number() });
export type SlotRow = z.infer<typeof SlotRow>;

/** A zone's control lease. The fencing number only increases. */
export const LeaseRow = z.object({ holder: z.string(), fence: z.number(), renewal: z.number(), leaseMs: z.number() });
export type LeaseRow = z.infer<typeof LeaseRow>;

const Member = z.object({ instance: z.string(), address: z.string(), bootId: z.string() });
export type Member = z.infer<typeof Member>;

/** A group: the instances that make up one replica. The first member receives the requests. */
export const GroupRow = z.object({
    group: z.string(),
    service: z.string(),
    availabilityZone: z.string(),
    fabricDomain: z.string(),
    fence: z.number(),
    model: z.string(),
    version: z.string(),
    adapter: z.string().optional(),
    state: z.enum(["active", "draining"]),
    members: z.array(Member),
});
export type GroupRow = z.infer<typeof GroupRow>;

/** Who owns an instance. A row without a group is free. */
export const InstanceRow = z.object({ instance: z.string(), group: z.string().optional(), fence: z.number() });
export type InstanceRow = z.infer<typeof InstanceRow>;

/** A claim on a call that may run at most once, and its outcome when known. */
export const ClaimRow = z.object({
    requestId: z.string(),
    process: z.string(),
    digest: z.string(),
    state: z.enum(["claimed", "answered", "notRun"]),
    /** That of a final answer. */
    status: z.number().int().min(200).max(599).optional(),
    headers: z.record(z.string(), z.string()).optional(),
    /** In base64; absent from an answered claim whose answer was too large to keep. */
    body: z.string().optional(),
});
export type ClaimRow = z.infer<typeof ClaimRow>;
