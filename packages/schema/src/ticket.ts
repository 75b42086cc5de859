/** Change tickets: a number, and the complete new state of each subject that the ticket touches. */
import { z } from "zod";

const Name = z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/, "must be lower-case letters, digits, dots and hyphens");
const PathPrefix = z.string().startsWith("/");

const LatencyTarget = z.strictObject({
    firstTokenMs: z.number().positive().default(930),
    betweenTokensMs: z.number().positive().default(52),
});

const LongWork = z.strictObject({
    /** A request whose answer is expected to have at least this many tokens counts as long work. */
    fromTokens: z.number().int().min(2).default(512),
    /** Declared time to the first token of long work, which is longer because long work waits behind short work. */
    firstTokenMs: z.number().positive().default(10_000),
});

const ModelService = z.strictObject({
    kind: z.literal("model"),
    model: Name,
    version: Name,
    adapter: Name.optional(),
    /** How many replicas each availability zone keeps. */
    replicas: z.record(Name, z.number().int().min(0).max(1_000)),
    /** Instances that one replica spans. */
    groupSize: z.number().int().min(1).max(64),
    /** Instances that each zone keeps free for repairs, if it has enough. */
    spares: z.number().int().min(0).default(0),
    /** Share of the declared replicas that stays in service during a change. */
    floorShare: z.number().min(0).max(1).default(0.5),
    /** Requests that one replica runs concurrently. */
    concurrency: z.number().int().min(1).default(16),
    /** Requests with a larger number go first. */
    priority: z.number().int().min(0).max(9).default(5),
    target: LatencyTarget.prefault({}),
    longWork: LongWork.prefault({}),
});
export type ModelService = z.infer<typeof ModelService>;

const PlainService = z.strictObject({
    kind: z.literal("plain"),
    upstreams: z.array(
        z.strictObject({ address: z.string().regex(/^[^:]+:\d+$/, "must be host:port"), availabilityZone: Name }),
    ),
    /** Calls that may be repeated in addition to those with a method that HTTP defines as idempotent. */
    repeatable: z.array(z.strictObject({ method: z.string(), path: PathPrefix })).default([]),
    concurrency: z.number().int().min(1).default(64),
    priority: z.number().int().min(0).max(9).default(7),
    timeoutMs: z.number().int().positive().default(10_000),
});
export type PlainService = z.infer<typeof PlainService>;

export const Service = z.discriminatedUnion("kind", [ModelService, PlainService]);
export type Service = z.infer<typeof Service>;

export const Workspace = z.strictObject({
    /** SHA-256 of each key in hexadecimal; keys themselves are never declared. */
    keySha256: z.array(z.string().regex(/^[0-9a-f]{64}$/, "must be 64 hexadecimal digits (rattanquay key hash)")).min(
        1,
    ),
    services: z.array(Name),
    /** Weight of this workspace when capacity is insufficient for all. */
    share: z.number().positive().default(1),
});
export type Workspace = z.infer<typeof Workspace>;

const InstanceRecall = z.strictObject({ kind: z.literal("instances"), instances: z.array(z.string()).min(1) });
const VersionRecall = z.strictObject({ kind: z.literal("version"), model: Name, version: Name });
export const Recall = z.discriminatedUnion("kind", [InstanceRecall, VersionRecall]);
export type Recall = z.infer<typeof Recall>;

const SubjectKey = z.string().regex(
    /^(services|workspaces|recalls)\/[a-z0-9][a-z0-9.-]*$/,
    "must be like services/NAME",
);

const TicketContent = z.strictObject({
    ticket: z.number().int().positive(),
    author: z.string().min(1),
    reason: z.string().default(""),
    services: z.record(Name, Service).default({}),
    workspaces: z.record(Name, Workspace).default({}),
    recalls: z.record(Name, Recall).default({}),
    /** Subjects to remove, each as `services/NAME`, `workspaces/NAME` or `recalls/NAME`. */
    remove: z.array(SubjectKey).default([]),
});

/** A ticket is accepted in one transaction, which cannot hold the writes for more subjects than this. */
const maxSubjects = 45;

/** A ticket, as kept in version control. */
export const Ticket = TicketContent.refine(
    ticket => subjectKeys(ticket).length <= maxSubjects,
    `must touch at most ${maxSubjects} subjects; split it into several tickets`,
).refine(
    ticket => subjectKeys(ticket).length > 0,
    "must touch at least one service, workspace or recall",
).refine(
    ticket => new Set(subjectKeys(ticket)).size === subjectKeys(ticket).length,
    "must not both declare and remove the same subject",
);
export type Ticket = z.infer<typeof Ticket>;

/** The fields of a ticket that determine its subjects. */
type SubjectFields = Pick<z.infer<typeof TicketContent>, "services" | "workspaces" | "recalls" | "remove">;

/** Keys of all subjects that a ticket touches, such as `services/NAME`. */
export function subjectKeys(ticket: SubjectFields): readonly string[] {
    return [
        ...Object.keys(ticket.services).map(name => `services/${name}`),
        ...Object.keys(ticket.workspaces).map(name => `workspaces/${name}`),
        ...Object.keys(ticket.recalls).map(name => `recalls/${name}`),
        ...ticket.remove,
    ];
}

/** The decision on a ticket. */
export type Verdict =
    | { readonly kind: "accepted"; readonly ticket: number; readonly revision: number }
    | { readonly kind: "numberTaken"; readonly ticket: number; readonly message: string }
    | {
        readonly kind: "overtaken";
        readonly ticket: number;
        readonly by: number;
        readonly subject: string;
        readonly message: string;
    }
    | { readonly kind: "tooOld"; readonly ticket: number; readonly evictedThrough: number; readonly message: string }
    | { readonly kind: "unavailable"; readonly ticket: number; readonly message: string };
