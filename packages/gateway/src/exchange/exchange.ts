/**
 * Runs one admitted request: chooses an upstream, sends the request, relays the answer, and retries where allowed.
 *
 * It ends in exactly one way: answered completely; not run, which is guaranteed; or unknown. An attempt that is still
 * running at that time is aborted, as it is when the caller disconnects.
 */
import {
    type AttemptCounts,
    type AttemptFailure,
    consumesRetryBudget,
    countAttempt,
    endingOfAttempts,
    mayRetryRequest,
    mayTakeIn,
    noAttemptsYet,
} from "@rattanquay/core";
import { type Ending } from "@rattanquay/schema";
import { type Cancel } from "@rattanquay/timer";
import { type ColdGrant } from "../cold";
import { errorFields } from "../errorFields";
import { type AdmittedRequest, promptRequestOf } from "./admittedRequest";
import { type AttemptRun, runAttempt } from "./attemptRun";
import { type ExchangeDependencies } from "./exchangeDependencies";
import { exclusionOf } from "./exclusion";
import { type AnswerSource } from "./finalRefusal";
import { type BufferedAnswer } from "./framedResponse";
import { noteServed, refusalDelayMs, retryAfterMs, spreadRetryMs } from "./loadShedding";
import { candidatesOf, choosePlacement, hasColdCandidate, pauseLeftMs, type Placement } from "./placement";
import { type Refusal, refusals, refuse } from "./refusals";
import { type AttemptResult, type Relay, relays } from "./relays";

/** How a request ended, for the log and the metrics. */
export type ExchangeOutcome = {
    readonly ending: Ending | "callerGone";
    readonly code: string;
    readonly status: number;
    /** The upstreams of its attempts, in order. */
    readonly upstreams?: readonly string[];
    /** Time from arrival to the first byte of the answer, and the prediction for the first attempt. */
    readonly firstByteMs?: number;
    readonly predictedMs?: number;
    /** The segments of the prompt, which tell requests that fail for a common cause. */
    readonly segments?: readonly string[];
    /** Whose answer the caller gets, if it is an upstream's. */
    readonly answerSource?: AnswerSource;
};

/** The final answer is sent this long before the caller's deadline. */
const answerMarginMs = 25;
/** No attempt starts with less time left, as its upstream would have no real chance to answer. */
const minAttemptMs = 40;
const msPerSecond = 1_000;
/** Grants that one request asks for. While many upstreams are cold, each refusal costs it a round trip. */
const maxGrantQuestions = 3;

/** Runs a request that has been admitted; `onEnd` is called once. */
export function runExchange(
    admitted: AdmittedRequest,
    dependencies: ExchangeDependencies,
    onEnd: (outcome: ExchangeOutcome) => void,
): void {
    new Exchange(admitted, dependencies, onEnd).start();
}

class Exchange {
    private readonly triedUpstreams = new Set<string>();
    /** Upstreams that may not get this request again, and those to which it was not permitted. */
    private readonly excludedUpstreams = new Set<string>();
    private grantQuestions = 0;
    private readonly relay: Relay;
    private sends: AttemptCounts = noAttemptsYet;
    /** An error response of an upstream, which the caller gets if no other attempt succeeds. */
    private errorAnswer: BufferedAnswer | undefined;
    private errorSource: AnswerSource | undefined;
    private currentAttempt: AttemptRun | undefined;
    private cancelTimeout: Cancel = () => undefined;
    private cancelGiveUp: Cancel = () => undefined;
    private hasEnded = false;
    private firstByteMs: number | undefined;
    private predictedMs: number | undefined;

    constructor(
        private readonly admitted: AdmittedRequest,
        private readonly dependencies: ExchangeDependencies,
        private readonly onEnd: (outcome: ExchangeOutcome) => void,
    ) {
        this.relay = relays[admitted.route.kind](admitted, { onFirstByte: () => this.noteFirstByte() });
    }

    start(): void {
        const { context: { timer }, lifetime } = this.dependencies;
        const { response } = this.admitted;
        this.cancelGiveUp = lifetime.onGiveUp(() => this.endWithoutAnswer("processStopped"));
        this.cancelTimeout = timer.after(Math.max(0, this.timeLeftMs()), () => this.endWithoutAnswer("outOfTime"));
        response.on("close", () => {
            if (!response.writableFinished) {
                this.finish("callerGone", "callerGone", 0);
            }
        });
        this.dependencies.budget.noteRequest(timer.nowMs());
        this.sendNext();
    }

    private timeLeftMs(): number {
        return this.admitted.endByMs - answerMarginMs - this.dependencies.context.timer.nowMs();
    }

    private noteFirstByte(): void {
        const { timer, metrics } = this.dependencies.context;
        this.firstByteMs = Math.round(timer.nowMs() - this.admitted.arrivedAtMs);
        metrics.firstByte.observe({ kind: this.admitted.route.kind }, this.firstByteMs / msPerSecond);
    }

    private finish(
        ending: ExchangeOutcome["ending"],
        code: string,
        status: number,
        answerSource?: AnswerSource,
    ): void {
        if (this.hasEnded) {
            return;
        }
        this.hasEnded = true;
        this.admitted.answer.release();
        this.cancelTimeout();
        this.cancelGiveUp();
        this.currentAttempt?.abort("the request has ended");
        this.currentAttempt = undefined;
        const { triedUpstreams, firstByteMs, predictedMs } = this;
        const segments = segmentsForLog(this.admitted);
        noteServed(this.admitted, ending === "answered" ? firstByteMs : undefined, this.dependencies);
        const upstreams = [...triedUpstreams];
        this.onEnd({ ending, code, status, upstreams, firstByteMs, predictedMs, segments, answerSource });
    }

    private refuseWith(refusal: Refusal, retryDelayMs = retryAfterMs(this.admitted, this.dependencies)): void {
        if (this.hasEnded) {
            return;
        }
        const { admitted, dependencies } = this;
        const { requestCodec } = dependencies.context.ports;
        refuse(admitted.answer, admitted.request, refusal, requestCodec, retryDelayMs);
        const { status, ending } = refusals[refusal];
        this.finish(ending, refusal, status);
    }

    /**
     * Ends without success: with an upstream's error response if there is one, else with a refusal that fits the
     * attempts.
     */
    private endWithoutSuccess(refusalIfUnsent: Refusal, retryDelayMs?: number): void {
        const { errorAnswer, admitted, sends } = this;
        if (errorAnswer !== undefined && admitted.answer.sendWhole(errorAnswer)) {
            this.finish("answered", "upstreamFailed", errorAnswer.status, this.errorSource);
            return;
        }
        const refusedAs = sends.last === undefined ? refusalIfUnsent : "notRun";
        this.refuseWith(endingOfAttempts(sends) === "unknown" ? "unknownOutcome" : refusedAs, retryDelayMs);
    }

    /** Ends a request at its deadline or at the end of a graceful stop. `refusal` is sent if an upstream may have run it. */
    private endWithoutAnswer(refusal: "outOfTime" | "processStopped"): void {
        if (this.errorAnswer !== undefined && !this.admitted.answer.hasBegun()) {
            this.endWithoutSuccess(refusal);
            return;
        }
        const isNotRun = this.currentAttempt === undefined && endingOfAttempts(this.sends) === "notRun";
        this.refuseWith(isNotRun ? "notRun" : refusal);
    }

    /** Ends a request whose prompt is quarantined: as not run, unless an upstream may have run it before. */
    private endQuarantined(retryDelayMs: number): void {
        if (this.errorAnswer !== undefined || endingOfAttempts(this.sends) === "unknown") {
            this.endWithoutSuccess("quarantined");
            return;
        }
        this.refuseWith("quarantined", retryDelayMs);
    }

    private sendNext(): void {
        this.whenPlacementsResume(() => this.placeNext());
    }

    /** Waits if the process was paused and its cluster state may be old. */
    private whenPlacementsResume(place: () => void): void {
        const heldBack = this.dependencies.guard.heldBack();
        if (heldBack === undefined) {
            place();
            return;
        }
        void heldBack.then(() => {
            if (!this.hasEnded) {
                this.whenPlacementsResume(place);
            }
        });
    }

    private placeNext(): void {
        const verdict = this.dependencies.quarantine.check(promptRequestOf(this.admitted));
        if (verdict.kind === "refused") {
            this.endQuarantined(verdict.retryAfterMs);
            return;
        }
        this.place();
    }

    /** Chooses an upstream and sends to it; called again if that upstream is cold and does not permit the request. */
    private place(): void {
        const { admitted, dependencies, sends, relay } = this;
        const usesCold = this.grantQuestions < maxGrantQuestions;
        const placement = choosePlacement(admitted, this.excludedUpstreams, dependencies, usesCold);
        if (placement === undefined) {
            this.endWithoutPlacement();
            return;
        }
        const hasBegun = sends.mayHaveRun > 0 || relay.lastEventId() !== undefined;
        const refusalMs = hasBegun ? undefined : refusalDelayMs(admitted, placement, dependencies);
        if (refusalMs !== undefined) {
            this.endWithoutSuccess("overloaded", refusalMs);
            return;
        }
        if (sends.last === undefined && !this.hasTimeInThisProcess(placement)) {
            this.refuseWith("stopping", 0);
            return;
        }
        if (placement.needsGrant) {
            this.askGrant(placement);
            return;
        }
        this.trySend(placement, undefined);
    }

    private endWithoutPlacement(): void {
        const { admitted, dependencies } = this;
        const pauseMs = pauseLeftMs(admitted, dependencies);
        if (pauseMs !== undefined) {
            this.endWithoutSuccess("paused", spreadRetryMs(pauseMs, dependencies));
            return;
        }
        const isColdLimited = hasColdCandidate(admitted, dependencies);
        this.endWithoutSuccess(isColdLimited ? "coldLimited" : exclusionOf(admitted, dependencies) ?? "noUpstream");
    }

    /** Sends with the grant for a cold upstream, or places the request elsewhere. The request can end meanwhile. */
    private askGrant(placement: Placement): void {
        const { admitted, dependencies } = this;
        this.grantQuestions++;
        void dependencies.coldGate.ask(placement.upstream.record, admitted.service).then(grant => {
            if (this.hasEnded) {
                return;
            }
            // A process short of processor time can get the grant before it notices that the caller's time is over.
            if (this.timeLeftMs() < minAttemptMs) {
                this.endWithoutAnswer("outOfTime");
                return;
            }
            const isStillCandidate = candidatesOf(admitted, dependencies).includes(placement.upstream)
                && dependencies.guard.heldBack() === undefined;
            if (grant === undefined || !isStillCandidate) {
                this.placeElsewhere(placement);
                return;
            }
            this.trySend(placement, grant);
        });
    }

    /** Nothing was sent: this is no attempt, and uses nothing of the retry budget. */
    private placeElsewhere({ upstream }: Placement): void {
        this.excludedUpstreams.add(upstream.record.id);
        this.whenPlacementsResume(() => this.place());
    }

    private trySend(placement: Placement, grant: ColdGrant | undefined): void {
        this.predictedMs ??= Math.round(placement.predictedMs);
        this.triedUpstreams.add(placement.upstream.record.id);
        this.excludedUpstreams.add(placement.upstream.record.id);
        try {
            this.send(placement, grant);
        }
        catch (error) {
            // Node throws if the request target contains characters that it cannot send unchanged.
            this.logSendError(error, placement);
            this.refuseWith("unreadablePath");
        }
    }

    private logSendError(error: unknown, { upstream }: Placement): void {
        const { admitted: { caller, request }, dependencies: { context: { log, metrics } } } = this;
        const origin = "send";
        metrics.unexpectedErrors.inc({ origin });
        log.error("unexpectedError", {
            origin,
            requestId: caller.requestId,
            upstream: upstream.record.id,
            path: request.url,
            ...errorFields(error),
        });
    }

    private hasTimeInThisProcess({ predictedEndMs }: Placement): boolean {
        const { admitted, dependencies: { lifetime, context: { timer } } } = this;
        const stop = lifetime.stop();
        const nowMs = timer.nowMs();
        const expectedEndMs = predictedEndMs === undefined ? undefined : nowMs + predictedEndMs;
        return stop === undefined || mayTakeIn({ endByMs: admitted.endByMs, expectedEndMs }, stop, nowMs);
    }

    private send(placement: Placement, grant: ColdGrant | undefined): void {
        const { admitted, dependencies, relay } = this;
        this.currentAttempt = runAttempt({
            admitted,
            dependencies,
            placement,
            grant,
            relay,
            hasExchangeEnded: () => this.hasEnded,
            canRetryElsewhere: () => this.canRetryElsewhere(),
            onResult: (result, answeringMs, isSealed) => {
                this.currentAttempt = undefined;
                const source = { upstream: placement.upstream.record.id, isSealed };
                this.handleResult(result, placement, answeringMs, source);
            },
            onHeldBack: () => {
                this.currentAttempt = undefined;
                this.triedUpstreams.delete(placement.upstream.record.id);
                this.placeElsewhere(placement);
            },
        });
    }

    /** Whether the request could be retried at another upstream if the current attempt were aborted now. */
    private canRetryElsewhere(): boolean {
        return this.canRetryAfter("inDoubt")
            && choosePlacement(this.admitted, this.excludedUpstreams, this.dependencies, false) !== undefined;
    }

    private canRetryAfter(failure: AttemptFailure): boolean {
        const { isRepeatable, route: { maxAttempts }, answer } = this.admitted;
        return answer.isOpenToAttempts()
            && mayRetryRequest(countAttempt(this.sends, failure), { isRepeatable, maxAttempts });
    }

    /** `answeringMs` is for how long the answer had been arriving. */
    private handleResult(
        result: AttemptResult,
        placement: Placement,
        answeringMs: number | undefined,
        source: AnswerSource,
    ): void {
        const { metrics } = this.dependencies.context;
        const { kind } = this.admitted.route;
        metrics.attempts.inc({ kind, result: result.kind === "short" ? result.failure : result.kind });
        if (result.kind === "answered") {
            this.finish("answered", "ok", result.status, source);
            return;
        }
        const failure = result.kind === "failed" ? "failed" : result.failure;
        if (result.kind === "failed") {
            this.errorAnswer = result.answer;
            this.errorSource = source;
        }
        this.logFailedAttempt(result, failure, placement, answeringMs);
        const canRetry = this.canRetryAfter(failure) && this.timeLeftMs() >= minAttemptMs;
        this.sends = countAttempt(this.sends, failure);
        if (canRetry && this.isWithinRetryBudget()) {
            this.sendNext();
            return;
        }
        this.endWithoutSuccess("notRun");
    }

    /** Whether the retry budget allows another attempt; attempts that are not retries are always allowed. */
    private isWithinRetryBudget(): boolean {
        const { dependencies, sends, admitted } = this;
        const { timer, log } = dependencies.context;
        if (!consumesRetryBudget(sends) || dependencies.budget.trySpend(timer.nowMs(), dependencies.instances())) {
            return true;
        }
        log.info("repeatRefused", {
            requestId: admitted.caller.requestId,
            spent: dependencies.budget.spent(timer.nowMs()),
        });
        return false;
    }

    private logFailedAttempt(
        result: Exclude<AttemptResult, { kind: "answered" }>,
        failure: AttemptFailure,
        placement: Placement,
        answeringMs: number | undefined,
    ): void {
        this.dependencies.context.log.info("sendFell", {
            requestId: this.admitted.caller.requestId,
            upstream: placement.upstream.record.id,
            failure,
            reason: result.kind === "failed" ? `status ${result.answer.status}` : result.reason,
            blames: result.kind === "short" ? result.blames : undefined,
            lastEventId: this.relay.lastEventId(),
            answeringMs: answeringMs === undefined ? undefined : Math.round(answeringMs),
            segments: segmentsForLog(this.admitted),
            predictedMs: Math.round(placement.predictedMs),
            load: Math.round(placement.upstream.load.estimate(this.dependencies.context.timer.nowMs())),
            candidates: placement.candidates,
        });
    }
}

/** Undefined for requests without a prompt, so that their log lines have no empty list. */
function segmentsForLog({ caller: { promptSegments } }: AdmittedRequest): readonly string[] | undefined {
    return promptSegments.length === 0 ? undefined : promptSegments.slice(0, maxLoggedSegments);
}

const maxLoggedSegments = 8;
