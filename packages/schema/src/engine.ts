/** Status reports of engine instances, the orders that they accept, and the chat API. */
import { z } from "zod";

/** The load that the engine last published; `ageMs` is its age when it was read. */
export const EngineLoad = z.object({
    running: z.number(),
    waiting: z.number(),
    ageMs: z.number(),
});
export type EngineLoad = z.infer<typeof EngineLoad>;

/** Answer to `GET /server_info`: the instance's report of its boot id and its assignment. */
export const ServerInfo = z.object({
    instance: z.string(),
    bootId: z.string(),
    status: z.enum(["idle", "loading", "ready", "failed"]),
    group: z.string().optional(),
    fence: z.number().optional(),
    model: z.string().optional(),
    version: z.string().optional(),
    adapter: z.string().optional(),
    cachedWeights: z.array(z.string()).default([]),
    load: EngineLoad,
});
export type ServerInfo = z.infer<typeof ServerInfo>;

/** `POST /orders`. Engines that check fencing refuse an order whose fence is lower than that of the last accepted order. */
export const Order = z.discriminatedUnion("kind", [
    z.object({
        kind: z.literal("load"),
        group: z.string(),
        fence: z.number(),
        model: z.string(),
        version: z.string(),
        adapter: z.string().optional(),
        rank: z.number(),
        members: z.array(z.string()),
    }),
    z.object({ kind: z.literal("unload"), group: z.string(), fence: z.number() }),
]);
export type Order = z.infer<typeof Order>;

const ChatMessage = z.object({ role: z.string(), content: z.string() });

/** The fields of an OpenAI-style chat completion that the entry instance reads; all others are forwarded unchanged. */
export const ChatCall = z.looseObject({
    model: z.string().min(1),
    messages: z.array(ChatMessage).min(1),
    stream: z.boolean().default(false),
    max_tokens: z.number().int().positive().optional(),
    max_completion_tokens: z.number().int().positive().optional(),
});
export type ChatCall = z.infer<typeof ChatCall>;

/** The fields that the entry instance reads in one streamed chunk of a chat completion. */
export const ChatChunk = z.looseObject({
    choices: z.array(z.looseObject({
        delta: z.looseObject({ content: z.string().optional() }),
        finish_reason: z.string().nullish(),
    })),
});
export type ChatChunk = z.infer<typeof ChatChunk>;

/** Names of the headers that entry instances and engines exchange. */
export const headerNames = {
    requestId: "x-request-id",
    attemptId: "x-request-attempt",
    resumeFrom: "x-resume-from",
    priority: "x-priority",
    group: "x-group",
    fence: "x-fence",
    spilledFrom: "x-spilled-from",
    peerProof: "x-peer-proof",
    outcome: "x-outcome",
} as const;
