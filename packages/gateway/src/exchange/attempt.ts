/** One send of a request to one upstream, and what comes back of it. */
import { splitAddress } from "@rattanquay/http";
import { type Timer } from "@rattanquay/timer";
import { type ClientRequest, type IncomingMessage, request as httpRequest } from "node:http";
import { type Socket } from "node:net";
import { type Writable } from "node:stream";
import { type AnswerHead, type RawHeaders, type RequestWire } from "../ports";
import { type KnownUpstream } from "../upstreams";

/** How a send ended. It ends exactly once. */
export type AttemptEnd =
    /** The answer came whole. */
    | { readonly kind: "whole" }
    /** No byte of the request went out. */
    | { readonly kind: "unreached"; readonly reason: string }
    /** The upstream says that it did not run it. */
    | { readonly kind: "rejected"; readonly head: AnswerHead }
    /** It may have run, and the answer is missing or not whole. */
    | { readonly kind: "cut"; readonly reason: string };

export type AttemptEvents = {
    readonly onHead: (head: AnswerHead, answer: IncomingMessage) => void;
    readonly onBytes: (bytes: Buffer) => void;
    readonly onEnd: (end: AttemptEnd) => void;
};

export type Attempt = {
    readonly startedAtMs: number;
    /** Gives the send up; it then ends as `cut`, or as `unreached` if nothing went out. */
    readonly abort: (reason: string) => void;
};

export type AttemptOptions = {
    readonly upstream: KnownUpstream;
    readonly method: string;
    readonly target: string;
    readonly headers: RawHeaders;
    readonly body: Buffer;
    readonly requestId: string | undefined;
    readonly wire: RequestWire;
    readonly timer: Timer;
    /** Where the answer's bytes go on to: while it takes no more, the upstream is held up. */
    readonly sink: Writable;
};

/** Many times the way to the farthest upstream; a lost opening packet is only sent again after a second. */
const connectTimeoutMs = 200;

export function startAttempt(options: AttemptOptions, events: AttemptEvents): Attempt {
    const { upstream, timer } = options;
    const { load } = upstream;
    let mayHaveLeft = false;
    let ended = false;
    let abortReason: string | undefined;
    const client = open(options);
    load.start();
    const finish = (end: AttemptEnd): void => {
        if (ended) {
            return;
        }
        ended = true;
        cancelConnect();
        load.end();
        events.onEnd(end);
    };
    const fail = (reason: string): void => {
        finish({ kind: mayHaveLeft ? "cut" : "unreached", reason: abortReason ?? reason });
    };
    const abort = (reason: string): void => {
        abortReason = reason;
        client.destroy();
        fail(reason);
    };
    const cancelConnect = timer.after(connectTimeoutMs, () => {
        if (!mayHaveLeft) {
            load.noteStall(timer.nowMs());
            abort("no connection in time");
        }
    });
    client.on("socket", socket => whenConnected(socket, () => mayHaveLeft = true));
    client.on("error", error => fail((error as NodeJS.ErrnoException).code ?? error.message));
    client.on("response", answer => {
        const head = options.wire.readHead(answer);
        if (!isOwn(head, options.requestId)) {
            client.destroy();
            fail("the answer belongs to another request");
            return;
        }
        note(head, upstream, timer.nowMs());
        if (head.isNotRun) {
            answer.resume();
            finish({ kind: "rejected", head });
            return;
        }
        readAnswer(answer, head, events, { finish, fail, load: upstream.load, timer, sink: options.sink });
    });
    client.on("close", () => fail("closed without an answer"));
    client.end(options.body);
    return { startedAtMs: timer.nowMs(), abort };
}

function open({ upstream, method, target, headers }: AttemptOptions): ClientRequest {
    const { record: { address }, pool } = upstream;
    return httpRequest({
        ...splitAddress(address),
        method,
        path: target,
        headers: headers as string[],
        agent: pool,
    });
}

function whenConnected(socket: Socket, action: () => void): void {
    if (socket.connecting) {
        socket.once("connect", action);
        return;
    }
    action();
}

/** An answer names the request that it belongs to; a refusal to run may come before the upstream has read that. */
function isOwn(head: AnswerHead, requestId: string | undefined): boolean {
    return head.requestId === requestId || (head.requestId === undefined && head.isNotRun);
}

function note(head: AnswerHead, { load }: KnownUpstream, nowMs: number): void {
    if (head.load !== undefined) {
        load.noteReport(head.load, nowMs);
    }
    if (head.isNotRun) {
        load.noteStall(nowMs);
        return;
    }
    load.noteProgress(nowMs);
}

type Reading = {
    readonly finish: (end: AttemptEnd) => void;
    readonly fail: (reason: string) => void;
    readonly load: KnownUpstream["load"];
    readonly timer: Timer;
    readonly sink: Writable;
};

function readAnswer(
    answer: IncomingMessage,
    head: AnswerHead,
    events: AttemptEvents,
    { finish, fail, load, timer, sink }: Reading,
): void {
    events.onHead(head, answer);
    answer.on("data", (bytes: Buffer) => {
        load.noteProgress(timer.nowMs());
        events.onBytes(bytes);
        if (sink.writableNeedDrain) {
            answer.pause();
            sink.once("drain", () => answer.resume());
        }
    });
    answer.on("end", () => answer.complete ? finish({ kind: "whole" }) : fail("the answer broke off"));
    answer.on("error", error => fail((error as NodeJS.ErrnoException).code ?? error.message));
    answer.on("close", () => fail("the answer broke off"));
}
