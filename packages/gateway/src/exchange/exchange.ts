/**
 * One request from its arrival to its end: admit, place, send, relay, and if need be again.
 *
 * It ends in exactly one way: answered whole; not run, which is true; or unknown. Whatever is still under way for it at its
 * end is given up, and so is everything when the caller leaves.
 */
import { afterSend, endingOfSends, isRepeat, maySendAgain, noSends, type Sends } from "@rattanquay/core";
import { type Ending } from "@rattanquay/schema";
import { type Cancel } from "@rattanquay/timer";
import { type Attempt, startAttempt } from "./attempt";
import { type Job } from "./job";
import { choosePlacement, type Placement } from "./placement";
import { type Reach } from "./reach";
import { type Refusal, refusals, refuse } from "./refusals";
import { deliver, type KeptAnswer, relays, type SendResult } from "./relays";
import { isStalled, type StallQuestion } from "./stalls";

/** How a request ended: for the log, the metrics and whoever counts. */
export type Conclusion = {
    readonly ending: Ending | "callerGone";
    readonly code: string;
    readonly status: number;
    /** Where it was sent, the last first to be blamed. */
    readonly upstreams?: readonly string[];
    /** From the arrival to the first byte of the answer, and what was predicted for the first send. */
    readonly firstByteMs?: number;
    readonly predictedMs?: number;
};

/** The final answer leaves this long before the caller stops waiting. */
const answerMarginMs = 25;
/** A send with less time than this left would be no offer to its upstream. */
const leastSendMs = 40;

export function runExchange(job: Job, reach: Reach, onEnd: (conclusion: Conclusion) => void): void {
    const { surroundings, budget, stalls } = reach;
    const { timer, log, metrics, ports: { wire } } = surroundings;
    const { response, request, route, caller } = job;
    const { kind } = route;
    const tried = new Set<string>();
    let sends: Sends = noSends;
    let kept: KeptAnswer | undefined;
    let current: Attempt | undefined;
    let unwatch: Cancel = () => undefined;
    let ended = false;

    let firstByteMs: number | undefined;
    let predictedMs: number | undefined;

    const relay = relays[kind](job, reach, {
        onFirstByte: () => {
            firstByteMs = Math.round(timer.nowMs() - job.arrivedAtMs);
            metrics.firstByte.observe({ kind }, firstByteMs / msPerSecond);
        },
    });

    const conclude = (conclusion: Pick<Conclusion, "ending" | "code" | "status">): void => {
        if (ended) {
            return;
        }
        ended = true;
        cancelTimeout();
        unwatch();
        const open = current;
        current = undefined;
        open?.abort("the request has ended");
        onEnd({ ...conclusion, upstreams: [...tried], firstByteMs, predictedMs });
    };
    const refuseWith = (refusal: Refusal, retryAfterMs: number): void => {
        if (ended) {
            return;
        }
        refuse(response, request, refusal, wire, retryAfterMs);
        const { status, ending } = refusals[refusal];
        conclude({ ending, code: refusal, status });
    };
    /** Ends without a good answer: by an upstream's own failure if there is one, else by what is known of the sends. */
    const giveUp = (unsent: Refusal): void => {
        if (kept !== undefined && !response.headersSent) {
            deliver(job, kept);
            conclude({ ending: "answered", code: "upstreamFailed", status: kept.status });
            return;
        }
        const refusedAs = sends.last === undefined ? unsent : "notRun";
        refuseWith(endingOfSends(sends) === "unknown" ? "unknownOutcome" : refusedAs, retryAfterMs(job, reach));
    };
    const timeLeftMs = (): number => job.endByMs - answerMarginMs - timer.nowMs();

    const settle = (result: SendResult, placement: Placement): void => {
        metrics.attempts.inc({ kind, result: result.kind === "short" ? result.failure : result.kind });
        if (result.kind === "answered") {
            conclude({ ending: "answered", code: "ok", status: result.status });
            return;
        }
        const failure = result.kind === "failed" ? "failed" : result.failure;
        const { record } = placement.upstream;
        log.info("sendFell", {
            requestId: caller.requestId,
            upstream: record.id,
            failure,
            reason: result.kind === "failed" ? `status ${result.answer.status}` : result.reason,
            lastEventId: relay.lastEventId(),
            predictedMs: Math.round(placement.predictedMs),
        });
        if (result.kind === "failed") {
            kept = result.answer;
        }
        sends = afterSend(sends, failure);
        const mayGoOn = maySendAgain(sends, { isRepeatable: job.isRepeatable, maxAttempts: route.maxAttempts });
        if (!mayGoOn || timeLeftMs() < leastSendMs) {
            giveUp("notRun");
            return;
        }
        if (isRepeat(sends) && !budget.spend(timer.nowMs(), reach.instances())) {
            log.info("repeatRefused", { requestId: caller.requestId, spent: budget.spent(timer.nowMs()) });
            giveUp("notRun");
            return;
        }
        sendNext();
    };

    const sendNext = (): void => {
        const placement = choosePlacement(job, tried, reach);
        if (placement === undefined) {
            giveUp("noUpstream");
            return;
        }
        if (isTooLate(job, placement, sends, relay.lastEventId())) {
            giveUp("overloaded");
            return;
        }
        predictedMs ??= Math.round(placement.predictedMs);
        tried.add(placement.upstream.record.id);
        send(placement);
    };

    const send = (placement: Placement): void => {
        const reading = relay.begin();
        const { upstream } = placement;
        let isOver = false;
        let hasHead = false;
        let lastBytesAtMs = timer.nowMs();
        const headers = wire.upstreamHeaders(request, {
            upstreamId: upstream.record.id,
            workspace: job.workspace,
            deadlineMs: Math.max(1, Math.floor(job.endByMs - timer.nowMs())),
            priority: priorityOf(job, placement),
            lastEventId: relay.lastEventId(),
            bodyBytes: request.headers["content-length"] === undefined && job.body.length === 0
                ? undefined
                : job.body.length,
        });
        const stop = (reason: string | undefined): void => {
            if (reason !== undefined && !isOver) {
                attempt.abort(reason);
            }
        };
        const options = {
            upstream,
            method: request.method ?? "GET",
            target: request.url ?? "/",
            headers,
            body: job.body,
            requestId: caller.requestId,
            wire,
            timer,
        };
        const attempt = startAttempt(options, {
            onHead: (head, answer) => {
                hasHead = true;
                stop(reading.onHead(head, answer));
            },
            onBytes: bytes => {
                lastBytesAtMs = timer.nowMs();
                if (!ended) {
                    stop(reading.onBytes(bytes));
                }
            },
            onEnd: end => {
                isOver = true;
                unwatch();
                if (!ended) {
                    current = undefined;
                    settle(reading.onEnd(end), placement);
                }
            },
        });
        if (isOver) {
            return;
        }
        current = attempt;
        const question = (nowMs: number): StallQuestion => ({
            nowMs,
            job,
            placement,
            sentAtMs: attempt.startedAtMs,
            lastBytesAtMs,
            hasHead,
            upstreamProgressAtMs: upstream.load.progressAtMs(),
            hasOthers: () => choosePlacement(job, tried, reach) !== undefined,
            mayRepeat: maySendAgain(afterSend(sends, "inDoubt"), {
                isRepeatable: job.isRepeatable,
                maxAttempts: route.maxAttempts,
            }),
        });
        unwatch = stalls.add(nowMs => isStalled(question(nowMs)), () => {
            upstream.load.noteStall(timer.nowMs());
            attempt.abort("nothing came from the upstream");
        });
    };

    const cancelTimeout = timer.after(Math.max(0, timeLeftMs()), () => {
        if (kept !== undefined && !response.headersSent) {
            giveUp("outOfTime");
            return;
        }
        refuseWith(current === undefined && endingOfSends(sends) === "notRun" ? "notRun" : "outOfTime", 0);
    });
    response.on("close", () => {
        if (!response.writableFinished) {
            conclude({ ending: "callerGone", code: "callerGone", status: 0 });
        }
    });
    budget.noteRequest(timer.nowMs());
    sendNext();
}

/**
 * Whether a request is better refused than sent: it could not be on time, and would keep others from being so.
 *
 * Answers the load in which a model's groups have more to do than they can for seconds: if all are taken, all are late. A
 * request that has run already, or of which events went out, is always carried on.
 */
function isTooLate({ service, route }: Job, { predictedMs }: Placement, sends: Sends, lastId: number | undefined): boolean {
    return service.engine !== undefined && sends.mayHaveRun === 0 && lastId === undefined
        && predictedMs > route.objectiveMs * lateFactor;
}

/** A prediction may be this much over the objective, for it is rough. */
const lateFactor = 2;

/** Requests that can still be on time go before those that cannot. */
function priorityOf({ service, route }: Job, { predictedMs }: Placement): number | undefined {
    if (service.engine === undefined) {
        return undefined;
    }
    return predictedMs <= route.objectiveMs ? usualPriority : latePriority;
}

const usualPriority = 4;
const latePriority = 7;

/** When to come back: as late as callers heed, since groups take seconds to form, and not all at the same moment. */
function retryAfterMs(job: Job, { surroundings }: Reach): number {
    const leftMs = Math.max(0, job.endByMs - surroundings.timer.nowMs());
    return leftMs * heededShare * (1 - retrySpread * surroundings.random());
}

/** Part of their time left for which callers will wait. */
const heededShare = 0.32;
const retrySpread = 0.4;
const msPerSecond = 1_000;
