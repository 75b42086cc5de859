/**
 * Handles chat completions: admission, attempts at replicas, and resumption of interrupted streams. The caller gets a
 * complete answer, or an error that states whether the request may have run.
 */
import { endingOf, mayRetryCall, noAttempts, recordAttempt } from "@rattanquay/core";
import { ChatCall, check, formatFaults, headerNames, type ModelService, type Service } from "@rattanquay/schema";
import { randomUUID } from "node:crypto";
import { type ReplicaGrant } from "../dispatch";
import { admitUnlessCallerGone } from "./admission";
import { parseJson, readText } from "./body";
import { type HandlerContext } from "./callerListener";
import { admitChat, meterAnswer } from "./chatAdmission";
import { type ChatAnswer, makeBufferedAnswer, makeStreamingAnswer } from "./chatAnswer";
import { attemptChat, type AttemptResult } from "./chatAttempt";
import { findAssignment, lookUp, refuseMissing } from "./confirmedLookup";
import { type Exchange, type RequestOutcome, sendError } from "./exchange";
import { spill } from "./spill";
import { logUnreadableAnswer } from "./unreadableAnswer";

/** A chat completion may run more than once, because its answer is its only effect. */
const retryRules = { isRepeatable: true, maxAttempts: 4 };

export async function serveChat(
    exchange: Exchange,
    workspace: string,
    context: HandlerContext,
): Promise<RequestOutcome> {
    const { settings } = context.processContext;
    const body = await readText(exchange, settings.limits);
    if (body.kind === "callerGone") {
        return { ending: "notRun", code: "callerGone" };
    }
    if (body.kind === "failed") {
        exchange.response.setHeader("connection", "close");
        return sendError(exchange, body.code);
    }
    const json = parseJson(body.text);
    if (json === undefined) {
        return sendError(exchange, "malformedJson");
    }
    const checked = check(ChatCall, json.value);
    if (checked.kind === "invalid") {
        return sendError(exchange, "invalidRequest", { detail: formatFaults(checked.faults) });
    }
    const call = checked.value;
    exchange.askedFor = call.model;
    const service = await lookUp(exchange, context, ({ services }) => modelService(services.get(call.model)));
    if (service.kind === "missing") {
        return refuseMissing(exchange, service, "unknownModel", `Asked for: ${call.model}.`);
    }
    exchange.service = call.model;
    const assignment = await lookUp(exchange, context, findAssignment(workspace, call.model));
    if (assignment.kind === "missing") {
        return refuseMissing(exchange, assignment, "notAssigned", `Service: ${call.model}.`);
    }
    return tryReplicas(exchange, workspace, call, service.value, context);
}

function modelService(service: Service | undefined): ModelService | undefined {
    return service?.kind === "model" ? service : undefined;
}

async function tryReplicas(
    exchange: Exchange,
    workspace: string,
    call: ChatCall,
    service: ModelService,
    context: HandlerContext,
): Promise<RequestOutcome> {
    const answer = call.stream
        ? makeStreamingAnswer(exchange, context.processContext)
        : makeBufferedAnswer(exchange, context.processContext);
    const retryBudget = context.retryBudget;
    const triedReplicas = new Set<string>();
    let attempts = noAttempts;
    retryBudget.noteFirstAttempt();
    for (;;) {
        const { mayHaveRun } = attempts;
        const id = `${exchange.requestId}/${randomUUID()}`;
        const admission = await admitUnlessCallerGone(
            exchange.response,
            id,
            context.dispatch,
            () => admitChat(exchange, workspace, call, service, id, triedReplicas, context),
        );
        if (admission.kind === "callerGone") {
            return { ending: endingOf(attempts, undefined), code: "callerGone" };
        }
        if (admission.kind === "refused") {
            const spilled = mayHaveRun ? undefined : await spill(exchange, call, answer, context);
            return spilled === undefined || spilled.kind === "unreached"
                ? failRequest(exchange, answer, mayHaveRun, admission.code, admission.retryAfterMs)
                : outcomeOfSpill(exchange, answer, spilled);
        }
        const meter = meterAnswer(answer, service, id, context);
        const result = await attemptOnReplica(exchange, call, admission, id, meter.answer, context);
        context.dispatch.release(id, meter.report(result));
        context.processContext.metrics.attempts.inc({ service: exchange.service, result: result.kind });
        if (result.kind === "whole") {
            return { ending: "answered", code: "ok" };
        }
        if (result.kind === "callerGone") {
            return { ending: "unknown", code: "callerGone" };
        }
        if (result.kind === "rejected") {
            return forwardRejection(answer, result);
        }
        const end = result.kind === "unreached" ? "unreached" : "inDoubt";
        attempts = recordAttempt(attempts, end);
        triedReplicas.add(admission.replica.replica);
        if (!mayRetryCall(attempts, end, retryRules) || !retryBudget.trySpend()) {
            return failRequest(exchange, answer, attempts.mayHaveRun, "upstreamUnreachable");
        }
    }
}

async function attemptOnReplica(
    exchange: Exchange,
    call: ChatCall,
    { replica, enginePriority }: ReplicaGrant,
    attemptId: string,
    answer: ChatAnswer,
    { processContext, dispatch }: HandlerContext,
): Promise<AttemptResult> {
    if (!dispatch.isServing(replica.replica)) {
        return { kind: "unreached" };
    }
    const span = processContext.tracing.startClientSpan("upstream chat", exchange.span);
    span.setAttributes({ replica: replica.replica, address: replica.address, attemptId, resumeFrom: answer.tokens() });
    const result = await attemptChat({
        attemptId,
        address: replica.address,
        headers: {
            ...processContext.tracing.propagationHeaders(span),
            [headerNames.requestId]: exchange.requestId,
            [headerNames.attemptId]: attemptId,
            [headerNames.resumeFrom]: String(answer.tokens()),
            [headerNames.priority]: String(enginePriority),
        },
        call: {
            ...call,
            model: replica.replica,
            ...(answer.tokens() > 0 ? { continue_from: { text: answer.text() } } : {}),
        },
        answer,
        limits: processContext.settings.limits,
        timer: processContext.timer,
        response: exchange.response,
    });
    span.setAttributes({ result: result.kind });
    span.end();
    logUnreadableAnswer(result, exchange, replica.address, processContext);
    return result;
}

/** The outcome of a request that was sent to another zone. It may have run there even if the attempt failed. */
function outcomeOfSpill(exchange: Exchange, answer: ChatAnswer, result: AttemptResult): RequestOutcome {
    if (result.kind === "whole") {
        return { ending: "answered", code: "spilled" };
    }
    if (result.kind === "callerGone") {
        return { ending: "unknown", code: "callerGone" };
    }
    if (result.kind === "rejected") {
        return forwardRejection(answer, result);
    }
    return failRequest(exchange, answer, true, "upstreamFailed");
}

type Rejection = Extract<AttemptResult, { readonly kind: "rejected" }>;

/** Forwards the upstream's rejection to the caller, unless part of another attempt's answer has already been sent. */
function forwardRejection(answer: ChatAnswer, { status, body }: Rejection): RequestOutcome {
    if (answer.hasStarted()) {
        answer.endWithError("upstreamFailed");
        return { ending: "unknown", code: "upstreamFailed" };
    }
    answer.forwardRejection(status, body);
    return { ending: "answered", code: `upstream${status}` };
}

function failRequest(
    exchange: Exchange,
    answer: ChatAnswer,
    mayHaveRun: boolean,
    code: "noReplica" | "overloaded" | "upstreamFailed" | "upstreamUnreachable",
    retryAfterMs?: number,
): RequestOutcome {
    const reportedCode = mayHaveRun ? "upstreamFailed" : code;
    if (answer.hasStarted()) {
        answer.endWithError(reportedCode);
        return { ending: "unknown", code: reportedCode };
    }
    return sendError(exchange, reportedCode, retryAfterMs === undefined ? {} : { retryAfterMs });
}
