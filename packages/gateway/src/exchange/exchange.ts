/**
 * Runs one admitted request: chooses an upstream, sends the request, relays the answer, and retries where allowed.
 *
 * It ends in exactly one way: answered completely; not run, which is guaranteed; or unknown. An attempt that is still
 * running at that time is aborted, as it is when the caller disconnects.
 */
import {
    type AttemptCounts,
    type AttemptFailure,
    countAttempt,
    endingOfAttempts,
    mayRetryRequest,
    noAttemptsYet,
} from "@rattanquay/core";
import { type Ending } from "@rattanquay/schema";
import { type Cancel } from "@rattanquay/timer";
import { type ColdGrant } from "../cold";
import { type AdmittedRequest, promptRequestOf } from "./admittedRequest";
import { logFailedAttempt, logSendError, segmentsForLog } from "./attemptLog";
import { type AttemptRun, type AttemptRunStart, runAttempt } from "./attemptRun";
import { type ExchangeDependencies } from "./exchangeDependencies";
import { refusalWithoutPlacement } from "./exclusion";
import { type AnswerSource } from "./finalRefusal";
import { type BufferedAnswer } from "./framedResponse";
import { noteServed, refusalDelayMs, retryAfterMs } from "./loadShedding";
import { candidatesOf, choosePlacement, type Placement } from "./placement";
import { type Refusal, refusals, refuse } from "./refusals";
import { type AttemptResult, type Relay, relays } from "./relays";
import { hasTimeInThisProcess, spendRetryBudget } from "./sendConditions";

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
            const { refusal, retryDelayMs } = refusalWithoutPlacement(admitted, dependencies);
            this.endWithoutSuccess(refusal, retryDelayMs);
            return;
        }
        const hasBegun = sends.mayHaveRun > 0 || relay.lastEventId() !== undefined;
        const refusalMs = hasBegun ? undefined : refusalDelayMs(admitted, placement, dependencies);
        if (refusalMs !== undefined) {
            this.endWithoutSuccess("overloaded", refusalMs);
            return;
        }
        if (sends.last === undefined && !hasTimeInThisProcess(admitted, placement, dependencies)) {
            this.refuseWith("stopping", 0);
            return;
        }
        if (placement.needsGrant) {
            this.askGrant(placement);
            return;
        }
        this.trySend(placement, undefined);
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
        const start = this.send(placement, grant);
        if (start.kind === "failed") {
            this.handleSendError(start, placement);
            return;
        }
        this.currentAttempt = start.run;
    }

    /** Neither the caller nor the upstream is at fault: the request goes elsewhere, or ends by what may have been sent. */
    private handleSendError(
        { error, mayHaveBeenSent }: Extract<AttemptRunStart, { readonly kind: "failed" }>,
        placement: Placement,
    ): void {
        logSendError(error, this.admitted, placement, this.dependencies);
        const failure = mayHaveBeenSent ? "inDoubt" : "unreached";
        const source = { upstream: placement.upstream.record.id, isSealed: false };
        this.handleResult({ kind: "short", failure, reason: "unexpected error" }, placement, undefined, source);
    }

    private send(placement: Placement, grant: ColdGrant | undefined): AttemptRunStart {
        const { admitted, dependencies, relay } = this;
        return runAttempt({
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
        const { admitted, dependencies } = this;
        const lastEventId = this.relay.lastEventId();
        logFailedAttempt({ admitted, placement, result, failure, answeringMs, lastEventId }, dependencies);
        const canRetry = this.canRetryAfter(failure) && this.timeLeftMs() >= minAttemptMs;
        this.sends = countAttempt(this.sends, failure);
        if (canRetry && spendRetryBudget(admitted, this.sends, dependencies)) {
            this.sendNext();
            return;
        }
        this.endWithoutSuccess("notRun");
    }
}
