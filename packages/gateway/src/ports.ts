/** What a gateway needs of the platform that it runs on. An adapter fills these in; nothing here names a wire. */
import { type LoadReport, type OrderResult } from "@rattanquay/core";
import { type EngineOrder, type EngineReport, type ServingConfig, type UpstreamRecord } from "@rattanquay/schema";
import { type IncomingMessage } from "node:http";

/** One row. `revision` is that of the transaction which wrote it last, from one counter for the whole store. */
export type StoredRow = {
    readonly table: string;
    readonly key: string;
    readonly text: string;
    readonly revision: number;
};

/** A row that is gone, with the revision of the transaction that removed it. */
export type RemovedRow = { readonly table: string; readonly key: string; readonly revision: number };

/** When an answer was asked for, and what the store's steady clock and newest revision were then. */
export type StoreStamp = { readonly sentAtMs: number; readonly storeNowMs: number; readonly storeRevision: number };

/** How a call to the store ended. */
export type StoreOutcome<T> =
    | { readonly kind: "done"; readonly value: T; readonly stamp: StoreStamp }
    /** A condition did not hold: nothing was written. */
    | { readonly kind: "conflict" }
    /** The changes that were asked for are no longer kept. */
    | { readonly kind: "historyLost" }
    /** The store said that it did nothing. */
    | { readonly kind: "refused"; readonly reason: string }
    /** No answer: a write may have been done, or may be done later. */
    | { readonly kind: "unanswered"; readonly reason: string };

export type RowChanges = { readonly rows: readonly StoredRow[]; readonly removed: readonly RemovedRow[] };

export type RowWrite = { readonly table: string; readonly key: string };

/** All or nothing. */
export type RowTransaction = {
    /** Revisions that rows must have; 0 for a row that must not exist. */
    readonly expected: readonly (RowWrite & { readonly revision: number })[];
    readonly put: readonly (RowWrite & { readonly text: string })[];
    readonly remove: readonly RowWrite[];
};

/** The platform's transactional table with a change feed. */
export type RowStore = {
    /** All rows of a table, as of one moment for each page. */
    readonly read: (table: string) => Promise<StoreOutcome<readonly StoredRow[]>>;
    /** Changes after a revision, as soon as there are some, or none after `waitMs`. */
    readonly follow: (table: string, after: number, waitMs: number) => Promise<StoreOutcome<RowChanges>>;
    readonly write: (transaction: RowTransaction) => Promise<StoreOutcome<void>>;
};

/** A table that others write, and how a row of it reads in the product's terms; undefined for one that says nothing. */
export type RecordSource<T> = {
    readonly table: string;
    readonly decode: (row: StoredRow) => T | undefined;
};

export type Sources = {
    readonly configuration: RecordSource<ServingConfig>;
    readonly upstreams: RecordSource<UpstreamRecord>;
};

/** What a caller asks for, as far as the product decides on it. */
export type CallerRequest = {
    readonly requestId: string | undefined;
    /** How long the caller will wait. */
    readonly deadlineMs: number | undefined;
    readonly key: string | undefined;
    readonly model: string | undefined;
    readonly promptTokens: number | undefined;
    readonly maxAnswerTokens: number | undefined;
    /** The caller's guess of the answer's length, often far off. */
    readonly expectedAnswerTokens: number | undefined;
    /** The last event of a stream that the caller has already. */
    readonly lastEventId: number | undefined;
};

/** What the gateway adds to a request on its way to an upstream. */
export type Forwarding = {
    readonly upstreamId: string;
    readonly workspace: string | undefined;
    readonly deadlineMs: number;
    /** 0 to 9, 0 first; undefined leaves the upstream's usual one. */
    readonly priority: number | undefined;
    readonly lastEventId: number | undefined;
    readonly bodyBytes: number | undefined;
};

/** The head of an upstream's answer. */
export type AnswerHead = {
    readonly status: number;
    /** Which request it answers, by the id that was sent. */
    readonly requestId: string | undefined;
    /** Whether the upstream vouches for the answer. */
    readonly isSealed: boolean;
    /** Whether the upstream says that it did not run the request and never will. */
    readonly isNotRun: boolean;
    /** Whether it says so because another incarnation or another group is here now. */
    readonly isMisdirected: boolean;
    readonly load: LoadReport | undefined;
    /** Whether the answer's end is marked; without it the end of the connection is the only sign of one. */
    readonly hasMarkedEnd: boolean;
    /** Another upstream that the answer blames. */
    readonly blames: string | undefined;
};

/** Headers as a flat list of names and values, as Node writes them. */
export type RawHeaders = readonly string[];

export type RequestWire = {
    readonly readRequest: (request: IncomingMessage) => CallerRequest;
    readonly upstreamHeaders: (request: IncomingMessage, forwarding: Forwarding) => RawHeaders;
    readonly readHead: (answer: IncomingMessage) => AnswerHead;
    readonly callerHeaders: (answer: IncomingMessage) => RawHeaders;
    /** Headers of an answer of the gateway's own. */
    readonly ownHeaders: (requestId: string | undefined, retryAfterMs: number | undefined) => RawHeaders;
};

/** Asks and orders engine instances. */
export type EngineControl = {
    /** Undefined when there is no answer in time, or one from another incarnation's address. */
    readonly report: (upstream: UpstreamRecord, timeoutMs: number) => Promise<EngineReport | undefined>;
    readonly order: (upstream: UpstreamRecord, order: EngineOrder, timeoutMs: number) => Promise<OrderAnswer>;
};

export type OrderAnswer = { readonly result: OrderResult; readonly detail: string };

export type Ports = {
    readonly store: RowStore;
    readonly sources: Sources;
    readonly wire: RequestWire;
    readonly engines: EngineControl;
};
