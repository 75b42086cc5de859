/** The workload file: which calls arrive and at which rate. Described in docs/reference/workload.md. */
import { z } from "zod";

const Tokens = z.discriminatedUnion("kind", [
    z.strictObject({ kind: z.literal("fixed"), tokens: z.number().int().positive() }),
    z.strictObject({
        kind: z.literal("uniform"),
        from: z.number().int().positive(),
        to: z.number().int().positive(),
    }),
    z.strictObject({
        kind: z.literal("lognormal"),
        median: z.number().positive(),
        sigma: z.number().positive(),
        most: z.number().int().positive(),
    }),
]);
export type Tokens = z.infer<typeof Tokens>;

const CallKind = z.strictObject({
    /** The relative frequency of this kind. */
    weight: z.number().positive(),
    /** The group that its results are reported in; it is not sent to the system under test. */
    work: z.enum(["short", "long"]).default("short"),
    promptTokens: Tokens.prefault({ kind: "fixed", tokens: 30 }),
    answerTokens: Tokens,
    /** The `max_tokens` that the caller sends. */
    maxTokens: z.number().int().positive(),
    /** The system under test cannot distinguish kinds with the same system prompt before their calls run. */
    systemPrompt: z.string().default("You help."),
});
export type CallKind = z.infer<typeof CallKind>;

const Workspace = z.strictObject({
    /** The relative frequency of calls from this workspace. */
    weight: z.number().positive(),
    /** Its declared share of capacity when demand exceeds capacity. */
    share: z.number().positive().default(1),
});

const Arrival = z.union([
    z.strictObject({ atSeconds: z.number().min(0), perSecond: z.number().min(0) }),
    z.strictObject({ atSeconds: z.number().min(0), shareOfCapacity: z.number().min(0) }),
]);

export const Workload = z.strictObject({
    /** Arrival rates at points in time: linear in between, constant before the first and after the last. */
    arrivals: z.array(Arrival).min(1),
    kinds: z.record(z.string(), CallKind).refine(kinds => Object.keys(kinds).length > 0, "must hold at least one kind"),
    workspaces: z.record(z.string().regex(/^[a-z0-9][a-z0-9-]*$/), Workspace).default({
        installers: { weight: 1, share: 1 },
    }),
});
export type Workload = z.infer<typeof Workload>;
