/**
 * Passing an upstream's answer on to the caller, by the kind of request.
 *
 * A whole answer is kept back until all of it is here, so that a broken one can be asked for again. A stream's events go
 * out one by one as they become whole; after a break another run goes on behind the last event that went out.
 */
import { makeEventOrder, type SendFailure } from "@rattanquay/core";
import { type RequestKind } from "@rattanquay/schema";
import { type IncomingMessage, type ServerResponse } from "node:http";
import { type AnswerHead, type RawHeaders } from "../ports";
import { type AttemptEnd } from "./attempt";
import { makeEventSplitter } from "./eventSplitter";
import { type Job } from "./job";
import { type Reach } from "./reach";

/** What a send came to, for the request as a whole. */
export type SendResult =
    /** The caller has its whole answer. */
    | { readonly kind: "answered"; readonly status: number }
    /** An upstream's own failure, which the caller gets if nothing better comes. */
    | { readonly kind: "failed"; readonly answer: KeptAnswer }
    | { readonly kind: "short"; readonly failure: SendFailure; readonly reason: string; readonly blames?: string };

export type KeptAnswer = {
    readonly status: number;
    readonly headers: RawHeaders;
    readonly body: Buffer;
    readonly hasMarkedEnd: boolean;
};

/** The caller's side of one answer, over all the sends that it takes. */
export type Relay = {
    /** What the next send must tell its upstream about events that went out already. */
    readonly lastEventId: () => number | undefined;
    /** Begins the reading of one send's answer. */
    readonly begin: () => RelayedSend;
};

/** The reading of one send's answer. A send that must be given up returns the reason. */
export type RelayedSend = {
    readonly onHead: (head: AnswerHead, answer: IncomingMessage) => string | undefined;
    readonly onBytes: (bytes: Buffer) => string | undefined;
    readonly onEnd: (end: AttemptEnd) => SendResult;
};

type Hooks = { readonly onFirstByte: () => void };

/** Answers larger than this are passed on as they come; a broken one then breaks the caller's. */
const largestKeptBytes = 262_144;
export const isSuccess = (status: number): boolean => status >= 200 && status < 300;

/** Delivers an answer that is here whole, as far as its upstream let that be known. */
export function deliver({ response }: Job, { status, headers, body, hasMarkedEnd }: KeptAnswer): void {
    const hasLength = headers.some((name, index) => index % 2 === 0 && name.toLowerCase() === "content-length");
    const length = hasLength || !hasMarkedEnd ? [] : ["content-length", String(body.length)];
    writeHead(response, status, [...headers, ...length], hasMarkedEnd);
    response.end(body);
}

/**
 * Begins an answer. One whose end its upstream did not mark is not given a mark here: what a broken connection cut short
 * would look whole.
 */
function writeHead(response: ServerResponse, status: number, headers: RawHeaders, hasMarkedEnd: boolean): void {
    if (!hasMarkedEnd) {
        response.useChunkedEncodingByDefault = false;
        response.shouldKeepAlive = false;
    }
    response.writeHead(status, [...headers]);
}

function shortBy(end: Exclude<AttemptEnd, { readonly kind: "whole" }>): SendResult {
    const handlers = {
        unreached: () => ({ kind: "short", failure: "unreached", reason: (end as { reason: string }).reason }),
        cut: () => ({ kind: "short", failure: "inDoubt", reason: (end as { reason: string }).reason }),
        rejected: () => {
            const { head } = end as Extract<AttemptEnd, { readonly kind: "rejected" }>;
            return { kind: "short", failure: "rejected", reason: `status ${head.status}`, blames: head.blames };
        },
    } as const satisfies Record<typeof end.kind, () => SendResult>;
    return handlers[end.kind]();
}

/** An answer that is kept until it is whole. */
function wholeRelay(job: Job, reach: Reach, hooks: Hooks): Relay {
    const begin = (): RelayedSend => {
        let head: AnswerHead | undefined;
        let headers: RawHeaders = [];
        let passing = false;
        const chunks: Buffer[] = [];
        let size = 0;
        return {
            onHead: (seen, answer) => {
                head = seen;
                headers = reach.surroundings.ports.wire.callerHeaders(answer);
                return isSuccess(seen.status) && !seen.isSealed ? "a success without a seal" : undefined;
            },
            onBytes: bytes => {
                if (passing) {
                    job.response.write(bytes);
                    return undefined;
                }
                chunks.push(bytes);
                size += bytes.length;
                if (size > largestKeptBytes) {
                    passing = true;
                    writeHead(job.response, head!.status, headers, head!.hasMarkedEnd);
                    hooks.onFirstByte();
                    chunks.splice(0).forEach(chunk => job.response.write(chunk));
                }
                return undefined;
            },
            onEnd: end => {
                if (end.kind !== "whole") {
                    return shortBy(end);
                }
                const { status, hasMarkedEnd } = head!;
                if (passing) {
                    job.response.end();
                    return { kind: "answered", status };
                }
                const answer = { status, headers, body: Buffer.concat(chunks), hasMarkedEnd };
                if (!isSuccess(status)) {
                    return { kind: "failed", answer };
                }
                hooks.onFirstByte();
                deliver(job, answer);
                return { kind: "answered", status };
            },
        };
    };
    return { lastEventId: () => job.caller.lastEventId, begin };
}

/** A stream of events, put together from as many runs as it takes. */
function streamRelay(job: Job, reach: Reach, hooks: Hooks): Relay {
    const { response, caller } = job;
    const order = makeEventOrder(caller.lastEventId);
    let hasBegun = false;
    const begin = (): RelayedSend => {
        const splitter = makeEventSplitter();
        const failing = wholeRelay(job, reach, hooks).begin();
        let isStream = false;
        let hasMarkedEnd = true;
        let headers: RawHeaders = [];
        let status = 0;
        const start = (): void => {
            if (!hasBegun) {
                hasBegun = true;
                writeHead(response, status, headers, hasMarkedEnd);
                hooks.onFirstByte();
            }
        };
        return {
            onHead: (head, answer) => {
                isStream = isSuccess(head.status);
                ({ status, hasMarkedEnd } = head);
                headers = reach.surroundings.ports.wire.callerHeaders(answer);
                return failing.onHead(head, answer);
            },
            onBytes: bytes => {
                if (!isStream) {
                    return failing.onBytes(bytes);
                }
                for (const event of splitter.push(bytes.toString("latin1"))) {
                    const verdict = order.judge(event.id);
                    if (verdict === "gap") {
                        return "an event is missing";
                    }
                    if (verdict === "pass") {
                        start();
                        response.write(event.bytes, "latin1");
                    }
                }
                return undefined;
            },
            onEnd: end => {
                if (end.kind !== "whole") {
                    return shortBy(end);
                }
                if (!isStream) {
                    return failing.onEnd(end);
                }
                if (splitter.hasRest()) {
                    return { kind: "short", failure: "inDoubt", reason: "the stream ended inside an event" };
                }
                start();
                response.end();
                return { kind: "answered", status };
            },
        };
    };
    return { lastEventId: order.lastId, begin };
}

/** How an answer is passed on, by the kind of request. */
export const relays = {
    idempotent: wholeRelay,
    nonIdempotent: wholeRelay,
    streaming: streamRelay,
} as const satisfies Record<RequestKind, (job: Job, reach: Reach, hooks: Hooks) => Relay>;
