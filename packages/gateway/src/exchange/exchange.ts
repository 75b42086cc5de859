/**
 * One request from its arrival to its end: place, send, relay, and if need be again.
 *
 * It ends in exactly one way: answered whole; not run, which is true; or unknown. Whatever is still under way for it at its
 * end is given up, and so is everything when the caller leaves.
 */
import {
    afterSend,
    endingOfSends,
    isRepeat,
    judgeStall,
    maySendAgain,
    noSends,
    type SendFailure,
    type Sends,
} from "@rattanquay/core";
import { type Ending } from "@rattanquay/schema";
import { type Cancel } from "@rattanquay/timer";
import { type Attempt, type AttemptEvents, type AttemptOptions, startAttempt } from "./attempt";
import { type Job } from "./job";
import { isTooLate, priorityOf, retryAfterMs } from "./lateness";
import { choosePlacement, type Placement } from "./placement";
import { type Reach } from "./reach";
import { type Refusal, refusals, refuse } from "./refusals";
import { deliver, isSuccess, type KeptAnswer, type Relay, relays, type SendResult } from "./relays";

/** How a request ended: for the log, the metrics and whoever counts. */
export type Conclusion = {
    readonly ending: Ending | "callerGone";
    readonly code: string;
    readonly status: number;
    /** Where it was sent, in order. */
    readonly upstreams?: readonly string[];
    /** From the arrival to the first byte of the answer, and what was predicted for the first send. */
    readonly firstByteMs?: number;
    readonly predictedMs?: number;
};

/** The final answer leaves this long before the caller stops waiting. */
const answerMarginMs = 25;
/** A send with less time than this left would be no offer to its upstream. */
const leastSendMs = 40;
const msPerSecond = 1_000;

/** Runs a request that has been admitted; `onEnd` is called once. */
export function runExchange(job: Job, reach: Reach, onEnd: (conclusion: Conclusion) => void): void {
    new Exchange(job, reach, onEnd).start();
}

class Exchange {
    private readonly tried = new Set<string>();
    private readonly relay: Relay;
    private sends: Sends = noSends;
    /** An upstream's own failure, which the caller gets if nothing better comes. */
    private kept: KeptAnswer | undefined;
    private current: Attempt | undefined;
    private unwatch: Cancel = () => undefined;
    private cancelTimeout: Cancel = () => undefined;
    private hasEnded = false;
    private firstByteMs: number | undefined;
    private predictedMs: number | undefined;

    constructor(
        private readonly job: Job,
        private readonly reach: Reach,
        private readonly onEnd: (conclusion: Conclusion) => void,
    ) {
        this.relay = relays[job.route.kind](job, reach, { onFirstByte: () => this.noteFirstByte() });
    }

    start(): void {
        const { timer } = this.reach.surroundings;
        const { response } = this.job;
        this.cancelTimeout = timer.after(Math.max(0, this.timeLeftMs()), () => this.runOutOfTime());
        response.on("close", () => {
            if (!response.writableFinished) {
                this.conclude("callerGone", "callerGone", 0);
            }
        });
        this.reach.budget.noteRequest(timer.nowMs());
        this.sendNext();
    }

    private timeLeftMs(): number {
        return this.job.endByMs - answerMarginMs - this.reach.surroundings.timer.nowMs();
    }

    private noteFirstByte(): void {
        const { timer, metrics } = this.reach.surroundings;
        this.firstByteMs = Math.round(timer.nowMs() - this.job.arrivedAtMs);
        metrics.firstByte.observe({ kind: this.job.route.kind }, this.firstByteMs / msPerSecond);
    }

    private conclude(ending: Conclusion["ending"], code: string, status: number): void {
        if (this.hasEnded) {
            return;
        }
        this.hasEnded = true;
        this.cancelTimeout();
        this.unwatch();
        this.current?.abort("the request has ended");
        this.current = undefined;
        const { tried, firstByteMs, predictedMs } = this;
        this.onEnd({ ending, code, status, upstreams: [...tried], firstByteMs, predictedMs });
    }

    private refuseWith(refusal: Refusal): void {
        if (this.hasEnded) {
            return;
        }
        const { job, reach } = this;
        refuse(job.response, job.request, refusal, reach.surroundings.ports.wire, retryAfterMs(job, reach));
        const { status, ending } = refusals[refusal];
        this.conclude(ending, refusal, status);
    }

    /** Ends without a good answer: by an upstream's own failure if there is one, else by what is known of the sends. */
    private giveUp(unsent: Refusal): void {
        const { kept, job, sends } = this;
        if (kept !== undefined && !job.response.headersSent) {
            deliver(job, kept);
            this.conclude("answered", "upstreamFailed", kept.status);
            return;
        }
        const refusedAs = sends.last === undefined ? unsent : "notRun";
        this.refuseWith(endingOfSends(sends) === "unknown" ? "unknownOutcome" : refusedAs);
    }

    private runOutOfTime(): void {
        if (this.kept !== undefined && !this.job.response.headersSent) {
            this.giveUp("outOfTime");
            return;
        }
        const isNotRun = this.current === undefined && endingOfSends(this.sends) === "notRun";
        this.refuseWith(isNotRun ? "notRun" : "outOfTime");
    }

    private sendNext(): void {
        const { job, reach, sends, relay } = this;
        const placement = choosePlacement(job, this.tried, reach);
        if (placement === undefined) {
            this.giveUp("noUpstream");
            return;
        }
        const hasBegun = sends.mayHaveRun > 0 || relay.lastEventId() !== undefined;
        if (!hasBegun && isTooLate(job, placement)) {
            this.giveUp("overloaded");
            return;
        }
        this.predictedMs ??= Math.round(placement.predictedMs);
        this.tried.add(placement.upstream.record.id);
        try {
            this.send(placement);
        }
        catch {
            // Node declines targets that it could not write as they came.
            this.refuseWith("unreadablePath");
        }
    }

    private send(placement: Placement): void {
        const { job, reach, relay } = this;
        const { timer } = reach.surroundings;
        const reading = relay.begin();
        const { upstream } = placement;
        let hasHead = false;
        let awaitsFirstEvent = false;
        let lastBytesAtMs = timer.nowMs();
        const stop = (reason: string | undefined): void => {
            if (reason !== undefined) {
                attempt.abort(reason);
            }
        };
        const events: AttemptEvents = {
            onHead: (head, answer) => {
                hasHead = true;
                awaitsFirstEvent = isSuccess(head.status);
                stop(reading.onHead(head, answer));
            },
            onBytes: bytes => {
                lastBytesAtMs = timer.nowMs();
                if (awaitsFirstEvent) {
                    awaitsFirstEvent = false;
                    placement.noteFirstEvent(lastBytesAtMs - attempt.startedAtMs);
                }
                if (!this.hasEnded) {
                    stop(reading.onBytes(bytes));
                }
            },
            onEnd: end => {
                this.unwatch();
                if (!this.hasEnded) {
                    this.current = undefined;
                    this.settle(reading.onEnd(end), placement);
                }
            },
        };
        const attempt = startAttempt(this.optionsFor(placement), events);
        this.current = attempt;
        const isOver = (nowMs: number): boolean => {
            if (job.response.writableNeedDrain) {
                // It is the caller that takes no more.
                lastBytesAtMs = nowMs;
                return false;
            }
            const verdict = judgeStall({
                isEngine: job.service.engine !== undefined,
                objectiveMs: job.route.objectiveMs,
                longestPauseMs: job.route.longestPauseMs ?? 0,
                predictedMs: placement.predictedMs,
                sentAtMs: attempt.startedAtMs,
                hasHead,
                lastBytesAtMs,
                upstreamProgressAtMs: upstream.load.progressAtMs(),
            }, nowMs);
            if (verdict !== "moves") {
                upstream.load.noteSilence(nowMs);
            }
            return verdict === "stalled" && this.mayGoElsewhere();
        };
        this.unwatch = reach.stalls.add(isOver, () => attempt.abort("nothing came from the upstream"));
    }

    private optionsFor(placement: Placement): AttemptOptions {
        const { job, reach, relay } = this;
        const { request, body, caller, workspace, endByMs } = job;
        const { timer, ports: { wire } } = reach.surroundings;
        const hasBody = request.headers["content-length"] !== undefined || body.length > 0;
        return {
            upstream: placement.upstream,
            method: request.method ?? "GET",
            target: request.url ?? "/",
            headers: wire.upstreamHeaders(request, {
                upstreamId: placement.upstream.record.id,
                workspace,
                deadlineMs: Math.max(1, Math.floor(endByMs - timer.nowMs())),
                priority: priorityOf(job, placement),
                lastEventId: relay.lastEventId(),
                bodyBytes: hasBody ? body.length : undefined,
            }),
            body,
            requestId: caller.requestId,
            wire,
            timer,
            sink: job.response,
        };
    }

    /** Whether a send that is given up now would be made elsewhere. */
    private mayGoElsewhere(): boolean {
        return this.mayGoOnAfter("inDoubt") && choosePlacement(this.job, this.tried, this.reach) !== undefined;
    }

    private mayGoOnAfter(failure: SendFailure): boolean {
        const { isRepeatable, route: { maxAttempts } } = this.job;
        return maySendAgain(afterSend(this.sends, failure), { isRepeatable, maxAttempts });
    }

    private settle(result: SendResult, placement: Placement): void {
        const { metrics } = this.reach.surroundings;
        const { kind } = this.job.route;
        metrics.attempts.inc({ kind, result: result.kind === "short" ? result.failure : result.kind });
        if (result.kind === "answered") {
            this.conclude("answered", "ok", result.status);
            return;
        }
        const failure = result.kind === "failed" ? "failed" : result.failure;
        this.kept = result.kind === "failed" ? result.answer : this.kept;
        this.logFall(result, failure, placement);
        const mayGoOn = this.mayGoOnAfter(failure) && this.timeLeftMs() >= leastSendMs;
        this.sends = afterSend(this.sends, failure);
        if (mayGoOn && this.mayRepeatNow()) {
            this.sendNext();
            return;
        }
        this.giveUp("notRun");
    }

    /** Whether the budget of repeats allows another send, if it is a repeat. */
    private mayRepeatNow(): boolean {
        const { reach, sends, job } = this;
        const { timer, log } = reach.surroundings;
        if (!isRepeat(sends) || reach.budget.spend(timer.nowMs(), reach.instances())) {
            return true;
        }
        log.info("repeatRefused", { requestId: job.caller.requestId, spent: reach.budget.spent(timer.nowMs()) });
        return false;
    }

    private logFall(
        result: Exclude<SendResult, { kind: "answered" }>,
        failure: SendFailure,
        placement: Placement,
    ): void {
        this.reach.surroundings.log.info("sendFell", {
            requestId: this.job.caller.requestId,
            upstream: placement.upstream.record.id,
            failure,
            reason: result.kind === "failed" ? `status ${result.answer.status}` : result.reason,
            blames: result.kind === "short" ? result.blames : undefined,
            lastEventId: this.relay.lastEventId(),
            predictedMs: Math.round(placement.predictedMs),
            load: Math.round(placement.upstream.load.estimate(this.reach.surroundings.timer.nowMs())),
            candidates: placement.candidates,
        });
    }
}
