/** The interfaces between a gateway and its platform. An adapter implements them; none depends on a wire format. */
import { type LoadReport, type OrderResult } from "@rattanquay/core";
import {
    type Checked,
    type EngineOrder,
    type EngineReport,
    type ServingConfig,
    type StorePosition,
    type UpstreamRecord,
} from "@rattanquay/schema";
import { type IncomingMessage } from "node:http";

/** A row with the position of the transaction that last wrote it; one counter serves the whole store. */
export type StoredRow = {
    readonly table: string;
    readonly key: string;
    /** Undefined if the value is no text. */
    readonly text: string | undefined;
    readonly revision: StorePosition;
};

/** A removed row, with the position of the transaction that removed it. */
export type RemovedRow = { readonly table: string; readonly key: string; readonly revision: StorePosition };

/** When a call was sent, and the store's monotonic clock and newest position in its answer. */
export type StoreStamp = {
    readonly sentAtMs: number;
    readonly storeNowMs: number;
    readonly storeRevision: StorePosition;
};

/** How a call to the store ended. */
export type StoreOutcome<T> =
    | { readonly kind: "done"; readonly value: T; readonly stamp: StoreStamp }
    /** A condition did not hold: nothing was written. */
    | { readonly kind: "conflict" }
    /** The changes that were asked for are no longer kept, or the store was restored since (`isRestored`). */
    | { readonly kind: "historyLost"; readonly isRestored?: boolean }
    /** The store stated that it did nothing. */
    | { readonly kind: "refused"; readonly reason: string }
    /** No answer: a write may have taken effect, or may still do so. */
    | { readonly kind: "unanswered"; readonly reason: string };

export type RowChanges = { readonly rows: readonly StoredRow[]; readonly removed: readonly RemovedRow[] };

export type RowWrite = { readonly table: string; readonly key: string };

/** Takes effect completely or not at all. */
export type RowTransaction = {
    /** Required positions of rows; 0 for a row that must not exist. The store compares revisions, and knows no eras. */
    readonly expected: readonly (RowWrite & { readonly revision: StorePosition })[];
    readonly put: readonly (RowWrite & { readonly text: string })[];
    readonly remove: readonly RowWrite[];
};

/**
 * Called whenever bytes of a successful answer have arrived, until the call ends. The store's client bounds how long an
 * answer may stall and how long it may take as a whole.
 */
export type AnswerProgress = () => void;

/** The platform's transactional store with a change feed. */
export type RowStore = {
    /** Reads all rows of a table. Each page is consistent in itself. */
    readonly read: (table: string, onProgress?: AnswerProgress) => Promise<StoreOutcome<readonly StoredRow[]>>;
    /**
     * Resolves to the changes after a position as soon as there are any, or to none after `waitMs`. Changes after a position
     * of an earlier era are not known.
     */
    readonly follow: (
        table: string,
        after: StorePosition,
        waitMs: number,
        onProgress?: AnswerProgress,
    ) => Promise<StoreOutcome<RowChanges>>;
    /** How long after `waitMs` a `follow` without an answer is given up. */
    readonly followSlackMs: number;
    readonly write: (transaction: RowTransaction) => Promise<StoreOutcome<void>>;
};

/** A row that was decoded; `unrelated` if the table holds it for another purpose. */
export type DecodedRow<T> = Checked<T> | { readonly kind: "unrelated" };

/** A table that other programs write, and how to decode its rows. */
export type RecordSource<T> = {
    readonly table: string;
    readonly decode: (row: StoredRow) => DecodedRow<T>;
};

export type Sources = {
    readonly configuration: RecordSource<ServingConfig>;
    /**
     * Names of evacuated availability zones: a zone is evacuated as long as its row exists. It is in the same table as
     * the configuration, and the text of a row plays no part.
     */
    readonly evacuations: RecordSource<string>;
    readonly upstreams: RecordSource<UpstreamRecord>;
};

/** The parts of a caller's request that affect how the gateway handles it. */
export type CallerRequest = {
    readonly requestId: string | undefined;
    /** How long the caller will wait. */
    readonly deadlineMs: number | undefined;
    readonly key: string | undefined;
    readonly model: string | undefined;
    readonly promptTokens: number | undefined;
    readonly maxAnswerTokens: number | undefined;
    /** The caller's estimate of the answer's length, often inaccurate. */
    readonly expectedAnswerTokens: number | undefined;
    /** The last event of a stream that the caller has already received. */
    readonly lastEventId: number | undefined;
    /** Ids of the segments of the prompt, in order. The last one belongs to this request or to its session alone. */
    readonly promptSegments: readonly string[];
};

/** What the gateway adds to a request that it forwards to an upstream. */
export type ForwardedRequest = {
    readonly upstreamId: string;
    readonly workspace: string | undefined;
    readonly deadlineMs: number;
    /** From 0 (first) to 9; undefined leaves the upstream's default. */
    readonly priority: number | undefined;
    readonly lastEventId: number | undefined;
    readonly bodyBytes: number | undefined;
};

/** The head of an upstream's answer. */
export type AnswerHead = {
    readonly status: number;
    /** The id of the request that it answers. */
    readonly requestId: string | undefined;
    /** Whether the answer carries the upstream's seal; a success without one is not relayed. */
    readonly isSealed: boolean;
    /** Whether the upstream states that it did not run the request and never will. */
    readonly isNotRun: boolean;
    /** Whether that is because another incarnation or another group now has this address. */
    readonly isMisdirected: boolean;
    readonly load: LoadReport | undefined;
    /** Whether the upstream announces that it is leaving. */
    readonly isLeaving: boolean;
    /** The pause that the upstream asks for; undefined if it asks for none. */
    readonly pauseMs: number | undefined;
    /** Whether the answer has a length or chunked framing; without them, it ends with the connection. */
    readonly hasMarkedEnd: boolean;
    /** Another upstream that the answer names as the cause of its failure. */
    readonly blames: string | undefined;
    /** The media type without its parameters, in lower case. */
    readonly mediaType: string | undefined;
    /** The headers that are passed on to the caller. */
    readonly headers: RawHeaders;
};

/** The head of an answer, or why it can't be read or passed on. */
export type HeadReading =
    | { readonly kind: "head"; readonly head: AnswerHead }
    | { readonly kind: "unreadable"; readonly fault: string };

/** Headers as a flat list of alternating names and values, as Node accepts them. */
export type RawHeaders = readonly string[];

export type RequestCodec = {
    readonly readRequest: (request: IncomingMessage) => CallerRequest;
    readonly upstreamHeaders: (request: IncomingMessage, forwarding: ForwardedRequest) => RawHeaders;
    /** Reads the head of the answer to a request of this method. It alone decides what of an upstream's head is used. */
    readonly readHead: (answer: IncomingMessage, method: string) => HeadReading;
    /** Headers of a response that the gateway generates itself. */
    readonly gatewayHeaders: (requestId: string | undefined, retryAfterMs: number | undefined) => RawHeaders;
};

/** Queries engine instances and sends them orders. */
export type EngineControl = {
    /** Undefined if no answer arrives in time, or if another incarnation answers. */
    readonly report: (upstream: UpstreamRecord, timeoutMs: number) => Promise<EngineReport | undefined>;
    readonly order: (upstream: UpstreamRecord, order: EngineOrder, timeoutMs: number) => Promise<OrderAnswer>;
};

export type OrderAnswer = { readonly result: OrderResult; readonly detail: string };

export type Ports = {
    readonly store: RowStore;
    readonly sources: Sources;
    readonly requestCodec: RequestCodec;
    readonly engines: EngineControl;
};
