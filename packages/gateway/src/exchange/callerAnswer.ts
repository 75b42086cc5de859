/**
 * Holds the answer to one caller: the rest of the exchange writes to the response only through it.
 *
 * One attempt at a time has a writer; opening the next one takes the right to write from it. The answer begins once.
 * After that only the same answer goes on: a body by the writer that began it, a series of events by whichever writer
 * continues it in sequence. An answer that has begun and can't be finished is reset, so that it never looks complete.
 */
import { type EventDecision, makeEventSequence, type RawEvent } from "@rattanquay/core";
import { type ServerResponse } from "node:http";
import { type AnswerHead } from "../ports";
import { type BufferedAnswer, frameResponse } from "./framedResponse";

/** What other modules may see of the response; none of it writes. */
export type CallerResponse = Pick<
    ServerResponse,
    "on" | "once" | "headersSent" | "statusCode" | "writableFinished" | "writableNeedDrain"
>;

/** Writes the body of one answer. Each function returns false if this writer may not, or the length does not fit. */
export type BodyWriter = {
    readonly write: (bytes: Buffer) => boolean;
    readonly end: () => boolean;
};

/** Writes the events of one run. The answer begins with the first event that is passed on, or with its end. */
export type EventWriter = {
    readonly write: (event: RawEvent) => EventDecision | "closed";
    readonly end: () => boolean;
};

/** The right of one attempt to write. Functions that begin an answer fail if it has begun or another attempt writes. */
export type AnswerWriter = {
    readonly beginBody: (head: AnswerHead) => BodyWriter | undefined;
    /** Undefined if the answer has begun and `head` isn't that of a run which continues it. */
    readonly openEvents: (head: AnswerHead) => EventWriter | undefined;
    readonly sendWhole: (answer: BufferedAnswer) => boolean;
};

export type CallerAnswer = {
    readonly hasBegun: () => boolean;
    /** Whether another attempt could begin the answer or continue it. */
    readonly isOpenToAttempts: () => boolean;
    /** The id of the last event that the caller has. */
    readonly lastEventId: () => number | undefined;
    /** Gives the right to write to a new attempt. `onBegin` is called if this attempt begins the answer. */
    readonly openWriter: (onBegin: () => void) => AnswerWriter;
    /** Sends an answer that is known as a whole; false if one has begun. */
    readonly sendWhole: (answer: BufferedAnswer) => boolean;
    /** Closes the connection after this answer. Has no effect once the answer has begun. */
    readonly closeConnectionAfter: () => void;
    /** Resets the connection, so that the caller cannot mistake a partial response for a complete one. */
    readonly reset: () => void;
    /** Rejects further writes, and leaves the connection as it is. */
    readonly release: () => void;
};

type State =
    | { readonly kind: "waiting" }
    | { readonly kind: "body" }
    | { readonly kind: "events"; readonly head: AnswerHead }
    | { readonly kind: "over" };

/** `after` is the id of the last event that the caller received earlier, if it sent one. */
export function makeCallerAnswer(response: ServerResponse, after: number | undefined): CallerAnswer {
    const framed = frameResponse(response);
    const sequence = makeEventSequence(after);
    let state: State = { kind: "waiting" };
    let writers = 0;
    const reset = (): void => {
        state = { kind: "over" };
        framed.reset();
    };
    const begin = (next: State, head: Omit<BufferedAnswer, "body">): void => {
        state = next;
        framed.begin(head);
    };
    const put = (bytes: Buffer | string): boolean => {
        if (framed.fits(bytes.length)) {
            framed.write(bytes);
            return true;
        }
        reset();
        return false;
    };
    const end = (): boolean => {
        if (framed.missesBytes()) {
            reset();
            return false;
        }
        state = { kind: "over" };
        framed.end();
        return true;
    };
    const sendWhole = ({ body, ...head }: BufferedAnswer): boolean => {
        if (state.kind !== "waiting") {
            return false;
        }
        begin({ kind: "over" }, framed.withLength(head, body.length));
        framed.end(body);
        return true;
    };

    const openWriter = (onBegin: () => void): AnswerWriter => {
        const writer = ++writers;
        const mayBegin = (): boolean => writer === writers && state.kind === "waiting";
        const mayWrite = (kind: "body" | "events"): boolean => writer === writers && state.kind === kind;
        const beginWith = (next: State, head: AnswerHead): void => {
            begin(next, head);
            onBegin();
        };
        return {
            beginBody: head => {
                if (!mayBegin()) {
                    return undefined;
                }
                beginWith({ kind: "body" }, head);
                return { write: bytes => mayWrite("body") && put(bytes), end: () => mayWrite("body") && end() };
            },
            openEvents: head => {
                if (!mayBegin() && !(mayWrite("events") && state.kind === "events" && continues(state.head, head))) {
                    return undefined;
                }
                const checkNext = sequence.startRun();
                const isReady = (): boolean => {
                    if (mayBegin()) {
                        beginWith({ kind: "events", head }, head);
                    }
                    return mayWrite("events");
                };
                return {
                    write: event => {
                        if (!mayBegin() && !mayWrite("events")) {
                            return "closed";
                        }
                        const decision = checkNext(event.id);
                        if (decision !== "pass") {
                            return decision;
                        }
                        return isReady() && put(event.bytes) ? "pass" : "closed";
                    },
                    end: () => isReady() && end(),
                };
            },
            sendWhole: answer => {
                if (!mayBegin()) {
                    return false;
                }
                onBegin();
                return sendWhole(answer);
            },
        };
    };
    return {
        hasBegun: () => response.headersSent,
        isOpenToAttempts: () => state.kind === "waiting" || state.kind === "events",
        lastEventId: sequence.lastId,
        openWriter,
        sendWhole,
        closeConnectionAfter: () => {
            response.shouldKeepAlive = false;
        },
        reset,
        release: () => {
            state = { kind: "over" };
        },
    };
}

/** Whether a run with this head continues the events that began with another: only the same kind of answer does. */
function continues(begun: AnswerHead, { status, mediaType }: AnswerHead): boolean {
    return status === begun.status && mediaType === begun.mediaType;
}
