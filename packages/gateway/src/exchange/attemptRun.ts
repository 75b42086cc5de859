/** Runs one attempt of an exchange: relays its answer, waits for callers that read slowly, and watches for stalls. */
import { detectStall } from "@rattanquay/core";
import { type ColdGrant } from "../cold";
import { type AnswerHead } from "../ports";
import { type ObservedEnd } from "../quarantine";
import { type AdmittedRequest, promptRequestOf } from "./admittedRequest";
import { type Attempt, type AttemptEnd, type AttemptOptions, startAttempt } from "./attempt";
import { type ExchangeDependencies } from "./exchangeDependencies";
import { priorityOf } from "./loadShedding";
import { type Placement } from "./placement";
import { type AttemptResult, type Relay } from "./relays";
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

/** Throws if the request target contains characters that Node cannot send unchanged. */
export function runAttempt(options: AttemptRunOptions): AttemptRun {
    const { admitted, dependencies, placement, relay, hasExchangeEnded, onResult } = options;
    const { timer } = dependencies.context;
    const reader = relay.begin();
    const progress = { hasHead: false, isSealed: false, lastBytesAtMs: timer.nowMs(), isPaused: false };
    let firstBytesAtMs: number | undefined;
    const noteAnswer = (isFaulty: boolean): void => placement.upstream.load.faults.noteAnswer(isFaulty, timer.nowMs());
    const abortFor = (reason: string | undefined): void => {
        if (reason !== undefined) {
            noteAnswer(true);
            attempt.abort(reason);
        }
    };
    const attempt = startAttempt(attemptOptions(options), {
        onHead: head => {
            progress.hasHead = true;
            progress.isSealed = head.isSealed;
            abortFor(reader.onHead(head));
        },
        onBytes: bytes => {
            progress.lastBytesAtMs = timer.nowMs();
            if (firstBytesAtMs === undefined) {
                firstBytesAtMs = progress.lastBytesAtMs;
                endPrefill();
                placement.noteFirstEvent(progress.lastBytesAtMs - attempt.startedAtMs);
            }
            if (!reader.isPassedOn()) {
                admitted.held.noteBuffered(bytes.length);
            }
            if (!hasExchangeEnded()) {
                const abortReason = reader.onBytes(bytes);
                if (reader.hasOutput()) {
                    watch.noteOutput();
                }
                abortFor(abortReason);
            }
            return pauseForCaller();
        },
        onHeldBack: () => {
            endPrefill();
            cancelStallWatch();
            freeUpstreamBytes();
            watch.noteEnd("other");
            if (!hasExchangeEnded()) {
                options.onHeldBack();
            }
        },
        onStrayAnswer: (head, earlierRequests) => {
            if (!head.isNotRun) {
                noteAnswer(true);
            }
            noteStrayAnswer(options, head, earlierRequests);
        },
        onEnd: end => {
            endPrefill();
            cancelStallWatch();
            freeUpstreamBytes();
            if (hasExchangeEnded()) {
                watch.noteEnd("other");
                return;
            }
            const result = reader.onEnd(end);
            if (result.kind !== "short") {
                noteAnswer(result.kind === "failed" && result.answer.status >= firstServerError);
            }
            watch.noteEnd(observeEnd(end, result));
            const answeringMs = firstBytesAtMs === undefined ? undefined : timer.nowMs() - firstBytesAtMs;
            onResult(result, answeringMs, progress.isSealed);
        },
        onUnreadable: fault => {
            noteAnswer(true);
            dependencies.unreadableAnswers.note(placement.upstream.record.id, admitted.caller.requestId, fault);
        },
    });
    placement.upstream.load.faults.noteSent(timer.nowMs());
    const endPrefill = startPrefill(options);
    const freeUpstreamBytes = dependencies.upstreamBytes.add(placement.upstream.record.id, admitted.body.length);
    /** Waits until a caller that reads slowly has taken what is buffered for it. */
    const pauseForCaller = (): boolean => {
        if (!admitted.response.writableNeedDrain || progress.isPaused) {
            return !progress.isPaused;
        }
        progress.isPaused = true;
        admitted.response.once("drain", () => {
            progress.isPaused = false;
            progress.lastBytesAtMs = timer.nowMs();
            attempt.resume();
        });
        return false;
    };
    const watch = dependencies.quarantine.watch(promptRequestOf(admitted), placement.upstream, attempt.abort);
    const cancelStallWatch = dependencies.stallWatch.add(
        nowMs => isStalled(options, attempt, { ...progress, isPassedOn: reader.isPassedOn() }, nowMs),
        () => attempt.abort("nothing came from the upstream"),
    );
    return attempt;
}

/** Counts a long prompt in the load of its upstream. The returned function ends that. */
function startPrefill({ placement: { upstream, extraPrefillMs }, dependencies }: AttemptRunOptions): () => void {
    return extraPrefillMs === 0
        ? () => undefined
        : dependencies.registry.startPrefill(upstream, extraPrefillMs, dependencies.context.timer.nowMs());
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

type Progress = {
    readonly hasHead: boolean;
    readonly isPassedOn: boolean;
    readonly lastBytesAtMs: number;
    readonly isPaused: boolean;
};

function isStalled(
    { admitted: { service, route }, placement, canRetryElsewhere }: AttemptRunOptions,
    { startedAtMs }: Attempt,
    { hasHead, isPassedOn, lastBytesAtMs, isPaused }: Progress,
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
        isPassedOn,
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
        target: request.url ?? "/",
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
