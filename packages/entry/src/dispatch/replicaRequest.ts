/** The messages between requests and the dispatch task: request, decision, and the report on how an attempt ended. */
import { type AttemptFeedback, type Job, type Replica } from "@rattanquay/core";

/** A request for a replica. With an `estimate`, the expected length of the answer sets its work class and deadline. */
export type ReplicaRequest = Omit<Job, "share"> & {
    readonly estimate?: {
        readonly kind: string;
        readonly maxTokens: number;
        readonly longFromTokens: number;
        readonly longStartByMs: number;
    };
};

/** A replica for a request, and the priority to send to its engine. */
export type ReplicaGrant = { readonly kind: "started"; readonly replica: Replica; readonly enginePriority: number };

/** The reply to a `ReplicaRequest`. */
export type AdmissionDecision =
    | ReplicaGrant
    | { readonly kind: "refused"; readonly code: "noReplica" | "overloaded"; readonly retryAfterMs: number };

/** How an attempt ended, with the data that later decisions use. */
export type AttemptReport =
    | Extract<AttemptFeedback, { readonly kind: "answered" }> & { readonly tokens: number }
    | Extract<AttemptFeedback, { readonly kind: "failed" }>
    | { readonly kind: "ended" };
