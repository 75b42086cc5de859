/**
 * Relays upstream answers to callers, by the kind of request.
 *
 * An answer that is not a stream is buffered until it is complete, so that an interrupted one can be requested again.
 * Events of a stream are forwarded as soon as each is complete; after an interruption, another attempt resumes after
 * the last forwarded event.
 */
import { type AttemptFailure, makeEventSplitter } from "@rattanquay/core";
import { makeByteCollector } from "@rattanquay/peer";
import { type RequestKind } from "@rattanquay/schema";
import { type AnswerHead } from "../ports";
import { type AdmittedRequest } from "./admittedRequest";
import { type AttemptEnd } from "./attempt";
import { type AnswerWriter, type BodyWriter, type EventWriter } from "./callerAnswer";
import { type BufferedAnswer } from "./framedResponse";

/** The result of one attempt, as far as the request is concerned. */
export type AttemptResult =
    /** The complete answer was passed to the caller. */
    | { readonly kind: "answered"; readonly status: number }
    /** An error response of the upstream, which the caller gets if no other attempt succeeds. */
    | { readonly kind: "failed"; readonly answer: BufferedAnswer }
    | { readonly kind: "short"; readonly failure: AttemptFailure; readonly reason: string; readonly blames?: string };

/** Relays the answer to one request over all of its attempts. */
export type Relay = {
    /** The id of the last event that was forwarded; the next attempt asks its upstream to resume after it. */
    readonly lastEventId: () => number | undefined;
    /** Starts reading the answer to one attempt. */
    readonly begin: () => AttemptReader;
};

/** Reads the answer to one attempt. `onHead` and `onBytes` return a reason if the attempt must be aborted. */
export type AttemptReader = {
    readonly onHead: (head: AnswerHead) => string | undefined;
    readonly onBytes: (bytes: Buffer) => string | undefined;
    readonly onEnd: (end: AttemptEnd) => AttemptResult;
    /** Whether the upstream has written a part of a successful answer; of a stream, a complete event. */
    readonly hasOutput: () => boolean;
    /** Whether what arrives is passed on to the caller at once. */
    readonly isPassedOn: () => boolean;
};

type Hooks = { readonly onFirstByte: () => void };

/** Larger answers are forwarded as they arrive; if one is interrupted, so is the response to the caller. */
const maxBufferedBytes = 262_144;
const isSuccess = (status: number): boolean => status >= 200 && status < 300;
const unavailableStatus = 503;
/**
 * Statuses that only the upstream itself may give, which its seal proves: a success, what tells the caller that its request is
 * wrong and not to be sent again, and the promise that it has not run. Other server errors say nothing of the request.
 */
const needsSeal = (status: number): boolean => status < 500 || status === unavailableStatus;

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

/** Why an attempt is aborted whose bytes can't be passed on. */
const reasons = {
    unsealed: "answer without a seal",
    hasBegun: "another answer to the caller has begun",
    unfit: "the answer does not fit what the caller has of it",
} as const;

const unfitAnswer = { kind: "short", failure: "inDoubt", reason: reasons.unfit } as const;

/** Buffers an answer until it is complete. */
function makeBufferedReader(writer: AnswerWriter): AttemptReader {
    let head: AnswerHead | undefined;
    let body: BodyWriter | undefined;
    let hasBytes = false;
    const buffered = makeByteCollector();
    return {
        onHead: received => {
            head = received;
            return needsSeal(received.status) && !received.isSealed ? reasons.unsealed : undefined;
        },
        onBytes: bytes => {
            if (body !== undefined) {
                return body.write(bytes) ? undefined : reasons.unfit;
            }
            hasBytes ||= bytes.length > 0;
            buffered.push(bytes);
            if (buffered.size() <= maxBufferedBytes) {
                return undefined;
            }
            body = writer.beginBody(head!);
            if (body === undefined) {
                return reasons.hasBegun;
            }
            return body.write(buffered.take()) ? undefined : reasons.unfit;
        },
        onEnd: end => {
            if (end.kind !== "whole") {
                return resultOfIncomplete(end);
            }
            const { status, headers } = head!;
            if (body !== undefined) {
                return body.end() ? { kind: "answered", status } : unfitAnswer;
            }
            const answer = { status, headers, body: buffered.take() };
            if (!isSuccess(status)) {
                return { kind: "failed", answer };
            }
            return writer.sendWhole(answer) ? { kind: "answered", status } : unfitAnswer;
        },
        hasOutput: () => hasBytes && head !== undefined && isSuccess(head.status),
        isPassedOn: () => body !== undefined,
    };
}

function bufferedRelay({ answer }: AdmittedRequest, { onFirstByte }: Hooks): Relay {
    return { lastEventId: answer.lastEventId, begin: () => makeBufferedReader(answer.openWriter(onFirstByte)) };
}

/** Forwards the events of one run. */
function makeEventReader(head: AnswerHead, events: EventWriter): AttemptReader {
    const splitter = makeEventSplitter();
    let hasOutput = false;
    return {
        onHead: () => undefined,
        onBytes: bytes => {
            for (const event of splitter.push(bytes.toString("latin1"))) {
                hasOutput = true;
                const decision = events.write(event);
                if (decision === "disorder") {
                    return "the ids of its events do not increase";
                }
                if (decision === "closed") {
                    return reasons.unfit;
                }
            }
            return splitter.isTooLarge() ? "an event has no end" : undefined;
        },
        onEnd: end => {
            if (end.kind !== "whole") {
                return resultOfIncomplete(end);
            }
            if (splitter.hasPartialEvent()) {
                return { kind: "short", failure: "inDoubt", reason: "the stream ended inside an event" };
            }
            return events.end() ? { kind: "answered", status: head.status } : unfitAnswer;
        },
        hasOutput: () => hasOutput,
        isPassedOn: () => true,
    };
}

/** Forwards a stream of events, assembled from as many attempts as needed. */
function streamRelay({ answer }: AdmittedRequest, { onFirstByte }: Hooks): Relay {
    const begin = (): AttemptReader => {
        const writer = answer.openWriter(onFirstByte);
        let reader = makeBufferedReader(writer);
        return {
            onHead: head => {
                const abortReason = reader.onHead(head);
                if (abortReason !== undefined) {
                    return abortReason;
                }
                if (!isSuccess(head.status)) {
                    return answer.hasBegun() ? `status ${head.status} after the stream had begun` : undefined;
                }
                const events = writer.openEvents(head);
                if (events === undefined) {
                    return reasons.hasBegun;
                }
                reader = makeEventReader(head, events);
                return undefined;
            },
            onBytes: bytes => reader.onBytes(bytes),
            onEnd: end => reader.onEnd(end),
            hasOutput: () => reader.hasOutput(),
            isPassedOn: () => reader.isPassedOn(),
        };
    };
    return { lastEventId: answer.lastEventId, begin };
}

/** The relay for each kind of request. */
export const relays = {
    idempotent: bufferedRelay,
    nonIdempotent: bufferedRelay,
    streaming: streamRelay,
} as const satisfies Record<RequestKind, (admitted: AdmittedRequest, hooks: Hooks) => Relay>;
