/** Runs one attempt of an exchange: relays its answer, waits for callers that read slowly, and watches for stalls. */
import { detectStall, pathOfTarget } from "@rattanquay/core";
import { type ColdGrant } from "../cold";
import { type AnswerHead } from "../ports";
import { type ObservedEnd } from "../quarantine";
import { type AdmittedRequest } from "./admittedRequest";
import {
    type Attempt,
    type AttemptEnd,
    type AttemptEvents,
    type AttemptOptions,
    type AttemptStart,
    startAttempt,
} from "./attempt";
import { type AttemptBookkeeping, makeAttemptBookkeeping } from "./attemptBookkeeping";
import { type AttemptControls, makeAttemptControls } from "./attemptControls";
import { type ExchangeDependencies } from "./exchangeDependencies";
import { priorityOf } from "./loadShedding";
import { type Placement } from "./placement";
import { type AttemptReader, type AttemptResult, type Relay } from "./relays";
import { type Gate } from "./sendRequest";

export type AttemptRunOptions = {
    readonly admitted: AdmittedRequest;
    readonly dependencies: ExchangeDependencies;
    readonly placement: Placement;
    /** The permission to send to an upstream that is cold. */
    readonly grant: ColdGrant | undefined;
    readonly relay: Relay;
    readonly hasExchangeEnded: () => boolean;
    /** Whether the request could be sent to another upstream if this attempt were aborted now. */
    readonly canRetryElsewhere: () => boolean;
    /**
     * Called once, unless the exchange has ended. `answeringMs` is for how long the answer had been arriving, and
     * `isSealed` whether its head carried the upstream's seal.
     */
    readonly onResult: (result: AttemptResult, answeringMs: number | undefined, isSealed: boolean) => void;
    /** Called instead of `onResult` if the upstream is cold and the request was too late for its grant, or had none. */
    readonly onHeldBack: () => void;
};

/** Statuses from here on are the upstream's fault; lower ones may be the request's. */
const firstServerError = 500;

export type AttemptRun = Pick<Attempt, "abort">;

/** The result of starting a run; one that failed counts nothing any more and calls none of the callbacks. */
export type AttemptRunStart =
    | { readonly kind: "started"; readonly run: AttemptRun }
    | Extract<AttemptStart, { readonly kind: "failed" }>;

/** Never throws. The attempt is counted before its request is opened, so that an error in counting sends nothing. */
export function runAttempt(options: AttemptRunOptions): AttemptRunStart {
    const { dependencies, placement: { upstream: { load } }, relay } = options;
    const { timer } = dependencies.context;
    const controls = makeAttemptControls();
    const reader = relay.begin();
    const progress: Progress = {
        startedAtMs: timer.nowMs(),
        hasHead: false,
        isSealed: false,
        firstBytesAtMs: undefined,
        lastBytesAtMs: timer.nowMs(),
        isPaused: false,
    };
    const bookkeeping = makeAttemptBookkeeping(options, {
        isStalled: nowMs => isStalled(options, progress, reader, nowMs),
        abort: controls.abort,
    });
    const start = tryStart({ options, controls, reader, progress, bookkeeping });
    if (start.kind === "failed") {
        bookkeeping.close("other");
        return start;
    }
    load.faults.noteSent(timer.nowMs());
    controls.attach(start.attempt);
    return { kind: "started", run: controls };
}

function tryStart(state: RunState): AttemptStart {
    try {
        state.bookkeeping.open();
        return startAttempt(attemptOptions(state.options), attemptEvents(state));
    }
    catch (error) {
        // startAttempt doesn't throw: no request was opened.
        return { kind: "failed", error, mayHaveBeenSent: false };
    }
}

type Progress = {
    readonly startedAtMs: number;
    hasHead: boolean;
    /** Whether the head carried the upstream's seal. */
    isSealed: boolean;
    firstBytesAtMs: number | undefined;
    lastBytesAtMs: number;
    /** Whether reading waits for a caller that reads slowly. */
    isPaused: boolean;
};

type RunState = {
    readonly options: AttemptRunOptions;
    readonly controls: AttemptControls;
    readonly reader: AttemptReader;
    readonly progress: Progress;
    readonly bookkeeping: AttemptBookkeeping;
};

function attemptEvents(state: RunState): AttemptEvents {
    const { options, reader, progress, bookkeeping } = state;
    const { admitted, dependencies, placement: { upstream }, hasExchangeEnded } = options;
    return {
        onHead: head => {
            progress.hasHead = true;
            progress.isSealed = head.isSealed;
            abortFor(state, reader.onHead(head));
        },
        onBytes: bytes => {
            noteBytes(state);
            if (!reader.isPassedOn()) {
                admitted.held.noteBuffered(bytes.length);
            }
            if (!hasExchangeEnded()) {
                const abortReason = reader.onBytes(bytes);
                if (reader.hasOutput()) {
                    bookkeeping.noteOutput();
                }
                abortFor(state, abortReason);
            }
            return pauseForCaller(state);
        },
        onHeldBack: () => {
            bookkeeping.close("other");
            if (!hasExchangeEnded()) {
                options.onHeldBack();
            }
        },
        onStrayAnswer: (head, earlierRequests) => {
            if (!head.isNotRun) {
                noteAnswer(state, true);
            }
            noteStrayAnswer(options, head, earlierRequests);
        },
        onUnmarkedEnd: (head, connection) => noteUnmarkedEnd(options, head, connection),
        onEnd: end => noteEnd(state, end),
        onUnreadable: fault => {
            noteAnswer(state, true);
            dependencies.unreadableAnswers.note(upstream.record.id, admitted.caller.requestId, fault);
        },
    };
}

function noteAnswer({ options: { placement, dependencies } }: RunState, isFaulty: boolean): void {
    placement.upstream.load.faults.noteAnswer(isFaulty, dependencies.context.timer.nowMs());
}

function abortFor(state: RunState, reason: string | undefined): void {
    if (reason !== undefined) {
        noteAnswer(state, true);
        state.controls.abort(reason);
    }
}

function noteBytes({ options: { dependencies, placement }, progress, bookkeeping }: RunState): void {
    progress.lastBytesAtMs = dependencies.context.timer.nowMs();
    if (progress.firstBytesAtMs === undefined) {
        progress.firstBytesAtMs = progress.lastBytesAtMs;
        bookkeeping.endPrefill();
        placement.noteFirstEvent(progress.lastBytesAtMs - progress.startedAtMs);
    }
}

/** Waits until a caller that reads slowly has taken what is buffered for it. Returns whether to read on now. */
function pauseForCaller({ options: { admitted, dependencies }, progress, controls }: RunState): boolean {
    if (!admitted.response.writableNeedDrain || progress.isPaused) {
        return !progress.isPaused;
    }
    progress.isPaused = true;
    admitted.response.once("drain", () => {
        progress.isPaused = false;
        progress.lastBytesAtMs = dependencies.context.timer.nowMs();
        controls.resume();
    });
    return false;
}

function noteEnd(state: RunState, end: AttemptEnd): void {
    const { options, reader, progress: { firstBytesAtMs, isSealed }, bookkeeping } = state;
    bookkeeping.release();
    if (options.hasExchangeEnded()) {
        bookkeeping.close("other");
        return;
    }
    const result = reader.onEnd(end);
    if (result.kind !== "short") {
        noteAnswer(state, result.kind === "failed" && result.answer.status >= firstServerError);
    }
    bookkeeping.close(observeEnd(end, result));
    const nowMs = options.dependencies.context.timer.nowMs();
    options.onResult(result, firstBytesAtMs === undefined ? undefined : nowMs - firstBytesAtMs, isSealed);
}

/** Logs and counts an answer that proves nothing about the request that waits on its connection. */
function noteStrayAnswer(
    { admitted, dependencies, placement }: AttemptRunOptions,
    { status, requestId: answerId, isNotRun }: AnswerHead,
    earlierRequests: number,
): void {
    const { log, metrics } = dependencies.context;
    metrics.strayAnswers.inc({ hasId: String(answerId !== undefined), isNotRun: String(isNotRun) });
    log.info("strayAnswer", {
        requestId: admitted.caller.requestId,
        upstream: placement.upstream.record.id,
        status,
        hasId: answerId !== undefined,
        isNotRun,
        earlierRequests,
    });
}

/** Logs and counts how an answer without a length or chunks ended, as nothing else tells whether it is whole. */
function noteUnmarkedEnd(
    { admitted, dependencies, placement }: AttemptRunOptions,
    { status }: AnswerHead,
    connection: "closed" | "reset",
): void {
    const { log, metrics } = dependencies.context;
    metrics.unmarkedEnds.inc({ connection });
    log.info("answerEndUnmarked", {
        requestId: admitted.caller.requestId,
        upstream: placement.upstream.record.id,
        status,
        connection,
    });
}

function isStalled(
    { admitted: { service, route }, placement, canRetryElsewhere }: AttemptRunOptions,
    { startedAtMs, hasHead, lastBytesAtMs, isPaused }: Progress,
    reader: AttemptReader,
    nowMs: number,
): boolean {
    if (isPaused) {
        return false;
    }
    const { load } = placement.upstream;
    const verdict = detectStall({
        isEngine: service.engine !== undefined,
        objectiveMs: route.objectiveMs,
        longestPauseMs: route.longestPauseMs ?? 0,
        predictedMs: placement.predictedMs,
        sentAtMs: startedAtMs,
        hasHead,
        isPassedOn: reader.isPassedOn(),
        lastBytesAtMs,
        upstreamProgressAtMs: load.progressAtMs(),
    }, nowMs);
    if (verdict !== "moves") {
        load.noteUnresponsive(nowMs);
    }
    return verdict === "stalled" && canRetryElsewhere();
}

/** Undefined for services without cold upstreams, whose requests are sent as soon as there is a connection. */
function gateOf({ admitted: { service }, dependencies, placement, grant }: AttemptRunOptions): Gate | undefined {
    const { coldGate, context: { settings } } = dependencies;
    const { record } = placement.upstream;
    if (service.cold === undefined || settings.bounds.cold === undefined) {
        return undefined;
    }
    return {
        maySend: () => coldGate.maySend(record, service, grant),
        noteConnectionLost: () => coldGate.noteConnectionLost(record, service),
    };
}

function attemptOptions(options: AttemptRunOptions): AttemptOptions {
    const { admitted, dependencies, placement, relay } = options;
    const { request, body, caller, workspace, endByMs, isRepeatable } = admitted;
    const { timer, ports: { requestCodec } } = dependencies.context;
    const hasBody = request.headers["content-length"] !== undefined || body.length > 0;
    return {
        upstream: placement.upstream,
        method: request.method ?? "GET",
        target: pathOfTarget(request.url ?? "/", request.headers.host),
        headers: requestCodec.upstreamHeaders(request, {
            upstreamId: placement.upstream.record.id,
            workspace,
            deadlineMs: Math.max(1, Math.floor(endByMs - timer.nowMs())),
            priority: priorityOf(admitted, placement, dependencies),
            lastEventId: relay.lastEventId(),
            bodyBytes: hasBody ? body.length : undefined,
        }),
        body,
        requestId: caller.requestId,
        isRepeatable,
        wire: requestCodec,
        timer,
        gate: gateOf(options),
    };
}

/** Distinguishes upstreams that broke an answer off from attempts that this process or the caller ended. */
function observeEnd(end: AttemptEnd, result: AttemptResult): ObservedEnd {
    if (result.kind === "answered") {
        return "answered";
    }
    const isInsideEvent = end.kind === "whole" && result.kind === "short";
    return isInsideEvent || (end.kind === "cut" && !end.isAborted) ? "brokenOff" : "other";
}
