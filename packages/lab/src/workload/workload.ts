/** The workload file: what callers ask for and when. Described in docs/reference/workload.md. */
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
    /** How often this kind is drawn, relative to the others. */
    weight: z.number().positive(),
    /** How its figures are grouped; the system under test is not told. */
    work: z.enum(["short", "long"]).default("short"),
    promptTokens: Tokens.prefault({ kind: "fixed", tokens: 30 }),
    answerTokens: Tokens,
    /** The limit that the caller sends. */
    maxTokens: z.number().int().positive(),
    /** Calls of kinds with the same text cannot be told apart before they run. */
    systemPrompt: z.string().default("You help."),
});
export type CallKind = z.infer<typeof CallKind>;

const Workspace = z.strictObject({
    /** Its part of the arrivals, relative to the others. */
    weight: z.number().positive(),
    /** Its declared share when there is not enough for all. */
    share: z.number().positive().default(1),
});

const Arrival = z.union([
    z.strictObject({ atSeconds: z.number().min(0), perSecond: z.number().min(0) }),
    z.strictObject({ atSeconds: z.number().min(0), shareOfCapacity: z.number().min(0) }),
]);

export const Workload = z.strictObject({
    /** Arrival rates at instants, linear between them and constant after the last. */
    arrivals: z.array(Arrival).min(1),
    kinds: z.record(z.string(), CallKind).refine(kinds => Object.keys(kinds).length > 0, "must hold at least one kind"),
    workspaces: z.record(z.string().regex(/^[a-z0-9][a-z0-9-]*$/), Workspace).default({
        installers: { weight: 1, share: 1 },
    }),
});
export type Workload = z.infer<typeof Workload>;
