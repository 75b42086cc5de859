/**
 * Relays upstream answers to callers, by the kind of request.
 *
 * An answer that is not a stream is buffered until it is complete, so that an interrupted one can be requested again.
 * Events of a stream are forwarded as soon as each is complete; after an interruption, another attempt resumes after
 * the last forwarded event.
 */
import { type AttemptFailure, makeEventSequence, makeEventSplitter } from "@rattanquay/core";
import { type RequestKind } from "@rattanquay/schema";
import { type IncomingMessage, type ServerResponse } from "node:http";
import { type AnswerHead, type RawHeaders } from "../ports";
import { type AdmittedRequest } from "./admittedRequest";
import { type AttemptEnd } from "./attempt";
import { type ExchangeDependencies } from "./exchangeDependencies";

/** The result of one attempt, as far as the request is concerned. */
export type AttemptResult =
    /** The complete answer was passed to the caller. */
    | { readonly kind: "answered"; readonly status: number }
    /** An error response of the upstream, which the caller gets if no other attempt succeeds. */
    | { readonly kind: "failed"; readonly answer: BufferedAnswer }
    | { readonly kind: "short"; readonly failure: AttemptFailure; readonly reason: string; readonly blames?: string };

export type BufferedAnswer = {
    readonly status: number;
    readonly headers: RawHeaders;
    readonly body: Buffer;
    readonly hasMarkedEnd: boolean;
};

/** Relays the answer to one request over all of its attempts. */
export type Relay = {
    /** The id of the last event that was forwarded; the next attempt asks its upstream to resume after it. */
    readonly lastEventId: () => number | undefined;
    /** Starts reading the answer to one attempt. */
    readonly begin: () => AttemptReader;
};

/** Reads the answer to one attempt. `onHead` and `onBytes` return a reason if the attempt must be aborted. */
export type AttemptReader = {
    readonly onHead: (head: AnswerHead, answer: IncomingMessage) => string | undefined;
    readonly onBytes: (bytes: Buffer) => string | undefined;
    readonly onEnd: (end: AttemptEnd) => AttemptResult;
    /** Whether the upstream has written a part of a successful answer; of a stream, a complete event. */
    readonly hasOutput: () => boolean;
};

type Hooks = { readonly onFirstByte: () => void };

/** Larger answers are forwarded as they arrive; if one is interrupted, so is the response to the caller. */
const maxBufferedBytes = 262_144;
const isSuccess = (status: number): boolean => status >= 200 && status < 300;

/** Sends a buffered answer, which is complete as far as its framing can show. */
export function sendBuffered(
    { response }: AdmittedRequest,
    { status, headers, body, hasMarkedEnd }: BufferedAnswer,
): void {
    const hasLength = headers.some((name, index) => index % 2 === 0 && name.toLowerCase() === "content-length");
    const length = hasLength || !hasMarkedEnd ? [] : ["content-length", String(body.length)];
    writeHead(response, status, [...headers, ...length], hasMarkedEnd);
    response.end(body);
}

/**
 * Writes the response head. An answer without a length or chunked framing is forwarded without either and ends with the
 * connection; otherwise an answer that a broken connection truncated would look complete.
 */
function writeHead(response: ServerResponse, status: number, headers: RawHeaders, hasMarkedEnd: boolean): void {
    if (!hasMarkedEnd) {
        response.useChunkedEncodingByDefault = false;
        response.shouldKeepAlive = false;
    }
    response.writeHead(status, [...headers]);
}

function resultOfIncomplete(end: Exclude<AttemptEnd, { readonly kind: "whole" }>): AttemptResult {
    const handlers = {
        unreached: () => ({ kind: "short", failure: "unreached", reason: (end as { reason: string }).reason }),
        cut: () => ({ kind: "short", failure: "inDoubt", reason: (end as { reason: string }).reason }),
        rejected: () => {
            const { head } = end as Extract<AttemptEnd, { readonly kind: "rejected" }>;
            return { kind: "short", failure: "rejected", reason: `status ${head.status}`, blames: head.blames };
        },
    } as const satisfies Record<typeof end.kind, () => AttemptResult>;
    return handlers[end.kind]();
}

/** Buffers an answer until it is complete. */
function bufferedRelay(admitted: AdmittedRequest, dependencies: ExchangeDependencies, hooks: Hooks): Relay {
    const begin = (): AttemptReader => {
        let head: AnswerHead | undefined;
        let headers: RawHeaders = [];
        let isPassingThrough = false;
        const chunks: Buffer[] = [];
        let size = 0;
        return {
            onHead: (received, answer) => {
                head = received;
                headers = dependencies.context.ports.requestCodec.callerHeaders(answer);
                return isSuccess(received.status) && !received.isSealed
                    ? "successful answer without a seal"
                    : undefined;
            },
            onBytes: bytes => {
                if (isPassingThrough) {
                    admitted.response.write(bytes);
                    return undefined;
                }
                size += bytes.length;
                chunks.push(bytes);
                if (size > maxBufferedBytes) {
                    isPassingThrough = true;
                    writeHead(admitted.response, head!.status, headers, head!.hasMarkedEnd);
                    hooks.onFirstByte();
                    chunks.splice(0).forEach(chunk => admitted.response.write(chunk));
                }
                return undefined;
            },
            onEnd: end => {
                if (end.kind !== "whole") {
                    return resultOfIncomplete(end);
                }
                const { status, hasMarkedEnd } = head!;
                if (isPassingThrough) {
                    admitted.response.end();
                    return { kind: "answered", status };
                }
                const answer = { status, headers, body: Buffer.concat(chunks), hasMarkedEnd };
                if (!isSuccess(status)) {
                    return { kind: "failed", answer };
                }
                hooks.onFirstByte();
                sendBuffered(admitted, answer);
                return { kind: "answered", status };
            },
            hasOutput: () => size > 0 && head !== undefined && isSuccess(head.status),
        };
    };
    return { lastEventId: () => admitted.caller.lastEventId, begin };
}

/** Forwards a stream of events, assembled from as many attempts as needed. */
function streamRelay(admitted: AdmittedRequest, dependencies: ExchangeDependencies, hooks: Hooks): Relay {
    const { response, caller } = admitted;
    const order = makeEventSequence(caller.lastEventId);
    let hasBegun = false;
    const begin = (): AttemptReader => {
        const splitter = makeEventSplitter();
        const errorReader = bufferedRelay(admitted, dependencies, hooks).begin();
        let isStream = false;
        let hasOutput = false;
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
                headers = dependencies.context.ports.requestCodec.callerHeaders(answer);
                return errorReader.onHead(head, answer);
            },
            onBytes: bytes => {
                if (!isStream) {
                    return errorReader.onBytes(bytes);
                }
                for (const event of splitter.push(bytes.toString("latin1"))) {
                    hasOutput = true;
                    const verdict = order.checkNext(event.id);
                    if (verdict === "gap") {
                        return "an event is missing";
                    }
                    if (verdict === "pass") {
                        start();
                        response.write(event.bytes, "latin1");
                    }
                }
                return splitter.isTooLarge() ? "an event has no end" : undefined;
            },
            onEnd: end => {
                if (end.kind !== "whole") {
                    return resultOfIncomplete(end);
                }
                if (!isStream) {
                    return errorReader.onEnd(end);
                }
                if (splitter.hasPartialEvent()) {
                    return { kind: "short", failure: "inDoubt", reason: "the stream ended inside an event" };
                }
                start();
                response.end();
                return { kind: "answered", status };
            },
            hasOutput: () => hasOutput,
        };
    };
    return { lastEventId: order.lastId, begin };
}

/** The relay for each kind of request. */
export const relays = {
    idempotent: bufferedRelay,
    nonIdempotent: bufferedRelay,
    streaming: streamRelay,
} as const satisfies Record<
    RequestKind,
    (admitted: AdmittedRequest, dependencies: ExchangeDependencies, hooks: Hooks) => Relay
>;
