/** A run as callers and upstreams saw it. */
import { z } from "zod";

/** One HTTP request of a caller. */
export type Request = {
    readonly requestId: string;
    /** What is asked for: a repeat under the same `Idempotency-Key` is the same call. */
    readonly call: string;
    /** Whether the call may run more than once. */
    readonly isRepeatable: boolean;
    /** The text that a whole answer must have; for plain services the answer must name the call. */
    readonly expectedText?: string;
};

/** How a request ended for its caller. */
export type Answer = {
    readonly requestId: string;
    /** `none`: the connection ended without a word. */
    readonly ending: "answered" | "notRun" | "unknown" | "none";
    /** Whether the answer came to a clean end. */
    readonly isWhole: boolean;
    readonly text: string;
};

/** One run at an upstream, noted before the run begins. */
export const Execution = z.object({
    requestId: z.string(),
    attemptId: z.string(),
    call: z.string(),
    upstream: z.string(),
});
export type Execution = z.infer<typeof Execution>;

export type History = {
    readonly requests: readonly Request[];
    readonly answers: readonly Answer[];
    readonly executions: readonly Execution[];
};
