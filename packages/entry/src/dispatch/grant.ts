/** What a request asks the dispatch task for, what it is told, and what it tells when it has ended. */
import { type Account, type Job, type Replica } from "@rattanquay/core";

/** A request that wants a replica; with an `estimate`, its class and deadline follow from the length it is thought to have. */
export type Wanted = Omit<Job, "share"> & {
    readonly estimate?: {
        readonly kind: string;
        readonly maxTokens: number;
        readonly longFromTokens: number;
        readonly longStartByMs: number;
    };
};

/** A replica for a request, and the priority by which its engine takes it in. */
export type Granted = { readonly kind: "started"; readonly replica: Replica; readonly enginePriority: number };

/** What a request is told when it asks for a replica. */
export type Grant =
    | Granted
    | { readonly kind: "refused"; readonly code: "noReplica" | "overloaded"; readonly retryAfterMs: number };

/** How an attempt ended, as far as later decisions rest on it. */
export type AttemptAccount =
    | Extract<Account, { readonly kind: "answered" }> & { readonly tokens: number }
    | Extract<Account, { readonly kind: "failed" }>
    | { readonly kind: "ended" };
