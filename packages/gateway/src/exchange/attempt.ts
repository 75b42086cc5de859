/** One attempt: sends a request to one upstream and reads its answer. */
import { proofOfAnswer, requiresNewConnection } from "@rattanquay/core";
import { detectReset, type RequestBody } from "@rattanquay/peer";
import { type Timer } from "@rattanquay/timer";
import { type ClientRequest, type IncomingMessage, request as httpRequest } from "node:http";
import { limitHeadBytes } from "../limitHeadBytes";
import { type AnswerHead, type RawHeaders, type RequestCodec } from "../ports";
import { type KnownUpstream } from "../upstreams";
import { discardBody } from "./discardBody";
import { type Gate, sendRequest } from "./sendRequest";

/** How an attempt ended. Each attempt ends exactly once. */
export type AttemptEnd =
    /** The complete answer arrived. */
    | { readonly kind: "whole" }
    /** The connection was not established: no byte of the request was sent. */
    | { readonly kind: "unreached"; readonly reason: string }
    /** The upstream states that it did not run the request. */
    | { readonly kind: "rejected"; readonly head: AnswerHead }
    /** The request may have run, and its answer is missing or incomplete. */
    | { readonly kind: "cut"; readonly reason: string; readonly isAborted: boolean };

export type AttemptEvents = {
    readonly onHead: (head: AnswerHead) => void;
    /** Returns whether to read on; otherwise reading pauses until `Attempt.resume`. */
    readonly onBytes: (bytes: Buffer) => boolean;
    readonly onEnd: (end: AttemptEnd) => void;
    /** Called before `onEnd` if the upstream sends what is no answer; `fault` says what could not be read. */
    readonly onUnreadable: (fault: string) => void;
    /** Called instead of `onEnd` if `Gate.maySend` refused: nothing was sent, and the upstream is not at fault. */
    readonly onHeldBack: () => void;
    /** Called for an answer that proves nothing about the request; the attempt is aborted. */
    readonly onStrayAnswer: (head: AnswerHead, earlierRequests: number) => void;
    /** Called before `onEnd` if an answer without a marked end has ended: it is whole if its connection was closed. */
    readonly onUnmarkedEnd: (head: AnswerHead, connection: "closed" | "reset") => void;
};

export type Attempt = {
    /** Aborts the attempt, which ends as `cut`, or as `unreached` if nothing was sent. */
    readonly abort: (reason: string) => void;
    /** Continues to read the answer after a pause. */
    readonly resume: () => void;
};

/** The result of starting an attempt. One that did not start calls no event, and its request is not sent later. */
export type AttemptStart =
    | { readonly kind: "started"; readonly attempt: Attempt }
    /** An unexpected error. `mayHaveBeenSent` states whether a connection may have taken bytes of the request. */
    | { readonly kind: "failed"; readonly error: unknown; readonly mayHaveBeenSent: boolean };

export type AttemptOptions = {
    readonly upstream: KnownUpstream;
    readonly method: string;
    readonly target: string;
    readonly headers: RawHeaders;
    readonly body: RequestBody;
    readonly requestId: string | undefined;
    /** Whether the request can safely be executed more than once. */
    readonly isRepeatable: boolean;
    readonly wire: RequestCodec;
    readonly timer: Timer;
    readonly gate: Gate | undefined;
};

/** Many round trips to the farthest upstream. TCP resends a lost SYN only after a second. */
const connectTimeoutMs = 200;
/** Node's errors about bytes that are no HTTP begin with it. */
const parseErrorPrefix = "HPE_";

/** Never throws: a request that was opened is either under way or destroyed when this returns. */
export function startAttempt(options: AttemptOptions, events: AttemptEvents): AttemptStart {
    let client: ClientRequest;
    try {
        client = openRequest(options);
    }
    catch (error) {
        return { kind: "failed", error, mayHaveBeenSent: false };
    }
    return followRequest(client, options, events);
}

function followRequest(client: ClientRequest, options: AttemptOptions, events: AttemptEvents): AttemptStart {
    const { upstream, upstream: { load, pool }, timer, requestId, gate } = options;
    let earlierRequests = 0;
    let mayHaveBeenSent = false;
    let ended = false;
    let abortReason: string | undefined;
    let hasHead = false;
    let readOn: (() => void) | undefined;
    let cancelConnect = (): void => undefined;
    load.start();
    const settle = (notify: () => void): void => {
        if (ended) {
            return;
        }
        ended = true;
        cancelConnect();
        load.end();
        notify();
    };
    const finish = (end: AttemptEnd): void => settle(() => events.onEnd(end));
    const fail = (reason: string): void => {
        if (!mayHaveBeenSent && abortReason === undefined) {
            // A refused connection leaves the upstream without load, and it would be preferred for that.
            load.noteUnreachable(timer.nowMs());
        }
        const isAborted = abortReason !== undefined;
        finish(
            mayHaveBeenSent
                ? { kind: "cut", reason: abortReason ?? reason, isAborted }
                : { kind: "unreached", reason: abortReason ?? reason },
        );
    };
    const abort = (reason: string): void => {
        if (ended) {
            return;
        }
        abortReason = reason;
        closeForGood(client);
        fail(reason);
    };
    const noteConnectTimeout = (): void => {
        if (!mayHaveBeenSent) {
            load.noteUnreachable(timer.nowMs());
            abort("no connection in time");
        }
    };
    const receive = (answer: IncomingMessage): void => {
        if (ended) {
            return;
        }
        const reading = options.wire.readHead(answer, options.method);
        if (reading.kind === "unreadable") {
            events.onUnreadable(reading.fault);
            abort("the answer can't be read");
            return;
        }
        const { head } = reading;
        const { requestId: answerId, isNotRun } = head;
        noteRefusalWithoutId(head, upstream, timer.nowMs());
        const proof = proofOfAnswer({ requestId, answerId, isNotRun, earlierRequests });
        if (proof === "nothing") {
            events.onStrayAnswer(head, earlierRequests);
            abort("the answer may belong to another request");
            return;
        }
        hasHead = true;
        updateLoad(head, upstream, timer.nowMs());
        recordAnnouncements(head, upstream, timer.nowMs());
        if (proof === "notRun") {
            finish({ kind: "rejected", head });
            discardBody(answer, timer, () => closeForGood(client));
            return;
        }
        readOn = readAnswer(answer, head, events, { finish, fail, hasEnded: () => ended, load, timer });
    };
    const send = (): void =>
        sendRequest(client, options.body.parts, gate, {
            onSocket: socket => earlierRequests = pool.countRequest(socket),
            onSending: () => mayHaveBeenSent = true,
            hasEnded: () => ended,
            onHeldBack: () => {
                abortReason = "held back";
                client.destroy();
                settle(events.onHeldBack);
            },
        });
    try {
        cancelConnect = timer.after(connectTimeoutMs, noteConnectTimeout);
        send();
        listen(client, {
            onUnreadable: fault => ended || events.onUnreadable(fault),
            onExcess: () => abort("the answer can't be read"),
            onError: fail,
            onAnswer: receive,
            onClose: () => hasHead || fail("closed without an answer"),
        });
    }
    catch (error) {
        abortReason = "unexpected error";
        settle(() => undefined);
        discardRequest(client);
        return { kind: "failed", error, mayHaveBeenSent };
    }
    return { kind: "started", attempt: { abort, resume: () => readOn?.() } };
}

type ClientListeners = {
    readonly onUnreadable: (fault: string) => unknown;
    /** Called after `onUnreadable` if more than the largest head has come. */
    readonly onExcess: () => void;
    readonly onError: (code: string) => void;
    readonly onAnswer: (answer: IncomingMessage) => void;
    readonly onClose: () => unknown;
};

function listen(client: ClientRequest, { onUnreadable, onExcess, onError, onAnswer, onClose }: ClientListeners): void {
    limitHeadBytes(client, () => {
        onUnreadable("no head within its largest size");
        onExcess();
    });
    client.on("error", error => {
        const { code = error.message } = error as NodeJS.ErrnoException;
        if (code.startsWith(parseErrorPrefix)) {
            onUnreadable(code);
        }
        onError(code);
    });
    client.on("response", onAnswer);
    client.on("close", onClose);
}

/** Node assigns a connection in a later tick, so that a request which is destroyed before it gets one is not sent. */
function discardRequest(client: ClientRequest): void {
    client.on("error", () => undefined);
    closeForGood(client);
}

function openRequest(
    { upstream, method, target, headers, requestId, isRepeatable }: AttemptOptions,
): ClientRequest {
    const { record: { address }, pool } = upstream;
    const colon = address.lastIndexOf(":");
    return httpRequest({
        host: address.slice(0, colon),
        port: Number(address.slice(colon + 1)),
        method,
        path: target,
        headers: headers as string[],
        agent: pool.agentFor(
            requiresNewConnection({ requestId, isRepeatable, refusesWithoutId: pool.refusesWithoutId() }),
        ),
    });
}

/**
 * Resets the connection of a request that is given up. After a plain close, bytes that a partition holds up would still
 * be delivered when it heals, and the upstream would run the request seconds after the caller got its final answer.
 */
function closeForGood(client: ClientRequest): void {
    const { socket } = client;
    if (socket === null || socket === undefined || socket.connecting) {
        client.destroy();
        return;
    }
    socket.resetAndDestroy();
}

function noteRefusalWithoutId({ isNotRun, requestId }: AnswerHead, { pool, load }: KnownUpstream, nowMs: number): void {
    if (isNotRun && requestId === undefined) {
        pool.noteRefusalWithoutId();
        // A sign of overload even if the refusal belongs to another request.
        load.noteUnreachable(nowMs);
    }
}

function updateLoad(head: AnswerHead, { load }: KnownUpstream, nowMs: number): void {
    if (head.load !== undefined) {
        load.noteReport(head.load, nowMs);
    }
    if (head.isNotRun) {
        load.noteUnreachable(nowMs);
        return;
    }
    load.noteProgress(nowMs);
}

function recordAnnouncements({ isLeaving, pauseMs }: AnswerHead, { announced }: KnownUpstream, nowMs: number): void {
    if (isLeaving) {
        announced.noteLeaving();
    }
    if (pauseMs !== undefined) {
        announced.notePause(pauseMs, nowMs);
    }
}

type AnswerHandlers = {
    readonly finish: (end: AttemptEnd) => void;
    readonly fail: (reason: string) => void;
    readonly hasEnded: () => boolean;
    readonly load: KnownUpstream["load"];
    readonly timer: Timer;
};

/**
 * Reads what has arrived in one part, however small the chunks in which the upstream sent it. Returns a function that continues
 * after a pause.
 */
function readAnswer(
    answer: IncomingMessage,
    head: AnswerHead,
    events: AttemptEvents,
    { finish, fail, hasEnded, load, timer }: AnswerHandlers,
): () => void {
    let isPaused = false;
    events.onHead(head);
    const read = (): void => {
        while (!isPaused && !hasEnded()) {
            const bytes = answer.read() as Buffer | null;
            if (bytes === null) {
                return;
            }
            load.noteProgress(timer.nowMs());
            isPaused = !events.onBytes(bytes);
        }
    };
    answer.on("readable", read);
    const isReset = head.hasMarkedEnd ? Promise.resolve(false) : detectReset(answer.socket);
    answer.on("end", () => {
        if (!answer.complete) {
            fail("the answer broke off");
            return;
        }
        if (head.hasMarkedEnd) {
            finish({ kind: "whole" });
            return;
        }
        void isReset.then(wasReset => {
            events.onUnmarkedEnd(head, wasReset ? "reset" : "closed");
            if (wasReset) {
                fail("the answer broke off");
                return;
            }
            finish({ kind: "whole" });
        });
    });
    answer.on("error", error => fail((error as NodeJS.ErrnoException).code ?? error.message));
    answer.on("close", () => {
        if (!answer.complete) {
            fail("the answer broke off");
        }
    });
    return () => {
        isPaused = false;
        read();
    };
}
