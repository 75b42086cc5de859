/** Chat completions: admission, attempts at replicas, resumption, and a whole answer or a true refusal. */
import { afterAttempt, endingOf, mayTryAgain, noAttempts } from "@rattanquay/core";
import { ChatCall, check, headerNames, type ModelService, parseJson, renderFaults } from "@rattanquay/schema";
import { randomUUID } from "node:crypto";
import { type Granted } from "../dispatch";
import { admittedUnlessGone } from "./admitted";
import { readCallerBody } from "./callerBody";
import { type Reach } from "./callerDoor";
import { admitChat, meterAnswer } from "./chatAdmission";
import { type Answer, makeStreamedAnswer, makeWholeAnswer } from "./chatAnswer";
import { attemptChat, type AttemptResult } from "./chatAttempt";
import { type Conclusion, type Exchange, refuse } from "./exchange";
import { spill } from "./spill";

/** A chat completion may run more than once: its answer alone counts. */
const rules = { isRepeatable: true, maxAttempts: 4 };

export async function serveChat(exchange: Exchange, workspace: string, reach: Reach): Promise<Conclusion> {
    const body = await readCallerBody(exchange, reach.surroundings);
    if (body.kind === "ended") {
        return body.conclusion;
    }
    const json = parseJson(body.bytes.toString("utf8"));
    if (json === undefined) {
        return refuse(exchange, "malformedJson");
    }
    const checked = check(ChatCall, json.value);
    if (checked.kind === "invalid") {
        return refuse(exchange, "invalidRequest", { detail: renderFaults(checked.faults) });
    }
    const call = checked.value;
    const service = exchange.snapshot.services.get(call.model);
    if (service?.kind !== "model") {
        return refuse(exchange, "unknownModel", { detail: `Asked for: ${call.model}.` });
    }
    exchange.service = call.model;
    if (!exchange.snapshot.workspaces.get(workspace)?.services.includes(call.model)) {
        return refuse(exchange, "notAssigned", { detail: `Service: ${call.model}.` });
    }
    return relay(exchange, workspace, call, service, reach);
}

async function relay(
    exchange: Exchange,
    workspace: string,
    call: ChatCall,
    service: ModelService,
    reach: Reach,
): Promise<Conclusion> {
    const answer = call.stream
        ? makeStreamedAnswer(exchange, reach.surroundings)
        : makeWholeAnswer(exchange, reach.surroundings);
    const budget = reach.retryBudget;
    const tried = new Set<string>();
    let attempts = noAttempts;
    budget.noteFirstAttempt();
    for (;;) {
        const { mayHaveRun } = attempts;
        const id = `${exchange.requestId}/${randomUUID()}`;
        const grant = await admittedUnlessGone(
            exchange.response,
            id,
            reach.dispatch,
            () => admitChat(exchange, workspace, call, service, id, tried, reach),
        );
        if (grant.kind === "callerGone") {
            return { ending: endingOf(attempts, undefined), code: "callerGone" };
        }
        if (grant.kind === "refused") {
            const spilled = mayHaveRun ? undefined : await spill(exchange, call, answer, reach);
            return spilled === undefined || spilled.kind === "unreached"
                ? giveUp(exchange, answer, mayHaveRun, grant.code, grant.retryAfterMs)
                : concludeSpilled(exchange, answer, spilled);
        }
        const meter = meterAnswer(answer, service, id, reach);
        const result = await runAttempt(exchange, call, grant, id, meter.answer, reach);
        reach.dispatch.release(id, meter.account(result));
        reach.surroundings.metrics.attempts.inc({ service: exchange.service, result: result.kind });
        if (result.kind === "whole") {
            return { ending: "answered", code: "ok" };
        }
        if (result.kind === "callerGone") {
            return { ending: "unknown", code: "callerGone" };
        }
        if (result.kind === "rejected") {
            return passRejection(answer, result);
        }
        const end = result.kind === "unreached" ? "unreached" : "inDoubt";
        attempts = afterAttempt(attempts, end);
        tried.add(grant.replica.replica);
        if (!mayTryAgain(attempts, end, rules) || !budget.spend()) {
            return giveUp(exchange, answer, attempts.mayHaveRun, "upstreamUnreachable");
        }
    }
}

async function runAttempt(
    exchange: Exchange,
    call: ChatCall,
    { replica, enginePriority }: Granted,
    attemptId: string,
    answer: Answer,
    { surroundings, dispatch }: Reach,
): Promise<AttemptResult> {
    if (!dispatch.stillServing(replica.replica)) {
        return { kind: "unreached" };
    }
    const span = surroundings.tracing.startClient("upstream chat", exchange.span);
    span.setAttributes({ replica: replica.replica, address: replica.address, attemptId, resumeFrom: answer.tokens() });
    const result = await attemptChat({
        attemptId,
        address: replica.address,
        headers: {
            ...surroundings.tracing.headersOf(span),
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
        limits: surroundings.settings.limits,
        timer: surroundings.timer,
        response: exchange.response,
    });
    span.setAttributes({ result: result.kind });
    span.end();
    return result;
}

/** How a request ends that another zone has taken on. It may have run there, whatever went wrong. */
function concludeSpilled(exchange: Exchange, answer: Answer, result: AttemptResult): Conclusion {
    if (result.kind === "whole") {
        return { ending: "answered", code: "spilled" };
    }
    if (result.kind === "callerGone") {
        return { ending: "unknown", code: "callerGone" };
    }
    if (result.kind === "rejected") {
        return passRejection(answer, result);
    }
    return giveUp(exchange, answer, true, "upstreamFailed");
}

type Rejection = Extract<AttemptResult, { readonly kind: "rejected" }>;

/** The upstream's own word on the request is its answer, unless a part of another attempt's has gone out already. */
function passRejection(answer: Answer, { status, body }: Rejection): Conclusion {
    if (answer.begun()) {
        answer.breakOff("upstreamFailed");
        return { ending: "unknown", code: "upstreamFailed" };
    }
    answer.passRejection(status, body);
    return { ending: "answered", code: `upstream${status}` };
}

function giveUp(
    exchange: Exchange,
    answer: Answer,
    mayHaveRun: boolean,
    code: "noReplica" | "overloaded" | "upstreamFailed" | "upstreamUnreachable",
    retryAfterMs?: number,
): Conclusion {
    const told = mayHaveRun ? "upstreamFailed" : code;
    if (answer.begun()) {
        answer.breakOff(told);
        return { ending: "unknown", code: told };
    }
    return refuse(exchange, told, retryAfterMs === undefined ? {} : { retryAfterMs });
}
