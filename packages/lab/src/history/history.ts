/** What callers and upstreams recorded of a run. */
import { z } from "zod";

/** One HTTP request of a caller. */
export type Request = {
    readonly requestId: string;
    /** Identifies the requested work: a retry under the same `Idempotency-Key` is the same call. */
    readonly call: string;
    /** Whether the call may be executed more than once. */
    readonly isRepeatable: boolean;
    /** The exact text of a complete answer; absent for plain services, whose answer must contain the call. */
    readonly expectedText?: string;
};

/** How a request ended for its caller. */
export type Answer = {
    readonly requestId: string;
    /** `none`: the connection ended without an answer. */
    readonly ending: "answered" | "notRun" | "unknown" | "none";
    /** Whether the answer ended cleanly, as a complete answer does. */
    readonly isWhole: boolean;
    readonly text: string;
};

/** One execution at an upstream, recorded before the work begins. */
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
