/** Handles calls to plain services: repeatable calls may be retried, others are sent to an upstream at most once. */
import { type AttemptOutcome, endingOf, isRepeatable, mayRetryCall, noAttempts, recordAttempt } from "@rattanquay/core";
import { headerNames, type PlainService, type Service } from "@rattanquay/schema";
import { randomUUID } from "node:crypto";
import { admitUnlessCallerGone, isCallerGone } from "./admission";
import { readBody } from "./body";
import { type HandlerContext } from "./callerListener";
import { findAssignment, lookUp, refuseMissing } from "./confirmedLookup";
import { type Exchange, type RequestOutcome, sendError } from "./exchange";
import { headersToUpstream } from "./forwardedHeaders";
import { type CallResult, sendResult } from "./plainAnswer";
import { attemptPlain, type PlainResult } from "./plainAttempt";
import { serveClaimedCall } from "./plainClaim";
import { logUnreadableAnswer } from "./unreadableAnswer";

const maxAttempts = 3;
const idempotencyHeader = "idempotency-key";
const maxKeyLength = 255;

export type PlainCall = {
    readonly workspace: string;
    readonly service: PlainService;
    readonly path: string;
    readonly body: Buffer;
    readonly repeatable: boolean;
    /** The time by which the call must have been sent. */
    readonly startByMs: number;
};

export async function servePlain(
    exchange: Exchange,
    workspace: string,
    context: HandlerContext,
): Promise<RequestOutcome> {
    const { settings } = context.processContext;
    const [, , name = "", ...pathSegments] = exchange.path.split("/");
    exchange.askedFor = name;
    const service = await lookUp(exchange, context, ({ services }) => plainService(services.get(name)));
    if (service.kind === "missing") {
        return refuseMissing(exchange, service, "unknownModel", `Asked for: ${name}.`);
    }
    exchange.service = name;
    const assignment = await lookUp(exchange, context, findAssignment(workspace, name));
    if (assignment.kind === "missing") {
        return refuseMissing(exchange, assignment, "notAssigned", `Service: ${name}.`);
    }
    if (exchange.request.destroyed) {
        return { ending: "notRun", code: "callerGone" };
    }
    const body = await readBody(exchange, settings.limits);
    if (body.kind === "callerGone") {
        return { ending: "notRun", code: "callerGone" };
    }
    if (body.kind === "failed") {
        exchange.response.setHeader("connection", "close");
        return sendError(exchange, body.code);
    }
    return serveCall(exchange, makePlainCall(exchange, workspace, service.value, pathSegments, body.bytes), context);
}

function plainService(service: Service | undefined): PlainService | undefined {
    return service?.kind === "plain" ? service : undefined;
}

function makePlainCall(
    { request, arrivedAtMs }: Exchange,
    workspace: string,
    service: PlainService,
    pathSegments: readonly string[],
    body: Buffer,
): PlainCall {
    const query = (request.url ?? "").split("?")[1];
    const path = `/${pathSegments.join("/")}`;
    return {
        workspace,
        service,
        path: query === undefined ? path : `${path}?${query}`,
        body,
        repeatable: isRepeatable(service, request.method ?? "GET", path),
        startByMs: arrivedAtMs + service.timeoutMs,
    };
}

async function serveCall(exchange: Exchange, call: PlainCall, context: HandlerContext): Promise<RequestOutcome> {
    const key = exchange.request.headers[idempotencyHeader];
    if (call.repeatable || key === undefined) {
        return sendResult(exchange, await tryUpstreams(exchange, call, context));
    }
    if (typeof key !== "string" || key === "" || key.length > maxKeyLength) {
        const detail = `Idempotency-Key must be a single value of 1 to ${maxKeyLength} characters.`;
        return sendError(exchange, "invalidRequest", { detail });
    }
    return serveClaimedCall(exchange, call, key, context, () => tryUpstreams(exchange, call, context));
}

/** Maps a result to how the attempt ended. `refused` and `callerGone` are `unreached`, because nothing was sent. */
const attemptEndOf = {
    answered: "answered",
    unreached: "unreached",
    cut: "inDoubt",
    timedOut: "inDoubt",
    refused: "unreached",
    callerGone: "unreached",
} as const satisfies Record<CallResult["kind"], AttemptOutcome>;

async function tryUpstreams(exchange: Exchange, call: PlainCall, context: HandlerContext): Promise<CallResult> {
    const retryBudget = context.retryBudget;
    const triedReplicas = new Set<string>();
    const retryRules = { isRepeatable: call.repeatable, maxAttempts };
    let attempts = noAttempts;
    let inDoubtResult: CallResult | undefined;
    let lastResult: CallResult | undefined;
    retryBudget.noteFirstAttempt();
    for (;;) {
        const id = `${exchange.requestId}/${randomUUID()}`;
        const admission = await admit(exchange, call, id, triedReplicas, context);
        if (admission.kind !== "started") {
            return inDoubtResult ?? lastResult ?? admission;
        }
        lastResult = await sendIfStillValid(exchange, call, admission.replica.address, id, context);
        context.dispatch.release(id);
        context.processContext.metrics.attempts.inc({ service: exchange.service, result: lastResult.kind });
        triedReplicas.add(admission.replica.replica);
        const end = attemptEndOf[lastResult.kind];
        attempts = recordAttempt(attempts, end);
        inDoubtResult = end === "inDoubt" ? lastResult : inDoubtResult;
        const isFinal = lastResult.kind === "refused" || lastResult.kind === "callerGone";
        if (isFinal || !mayRetryCall(attempts, end, retryRules) || !retryBudget.trySpend()) {
            return endingOf(attempts, end) === "unknown" ? inDoubtResult ?? lastResult : lastResult;
        }
    }
}

function admit(
    exchange: Exchange,
    call: PlainCall,
    id: string,
    avoid: ReadonlySet<string>,
    { dispatch }: HandlerContext,
) {
    const { workspace, service, startByMs } = call;
    return admitUnlessCallerGone(exchange.response, id, dispatch, () =>
        dispatch.admit({
            id,
            service: exchange.service,
            workspace,
            workClass: "short",
            priority: service.priority,
            startDeadlineMs: startByMs,
            excludedReplicas: avoid,
        }));
}

/**
 * Checks again immediately before sending, without any wait in between. A process that was paused while it claimed the
 * call or waited in the queue must not send a call that its caller has abandoned, or send it to a removed upstream.
 */
async function sendIfStillValid(
    exchange: Exchange,
    call: PlainCall,
    address: string,
    attemptId: string,
    context: HandlerContext,
): Promise<CallResult> {
    if (isCallerGone(exchange.response)) {
        return { kind: "callerGone" };
    }
    if (context.processContext.timer.nowMs() >= call.startByMs) {
        return { kind: "refused", code: "overloaded", retryAfterMs: 1_000 };
    }
    const declared = context.configuration.feed.latest().snapshot.services.get(exchange.service);
    if (declared?.kind !== "plain" || !declared.upstreams.some(upstream => upstream.address === address)) {
        return { kind: "unreached" };
    }
    return send(exchange, call, address, attemptId, context);
}

async function send(
    exchange: Exchange,
    call: PlainCall,
    address: string,
    attemptId: string,
    { processContext }: HandlerContext,
): Promise<PlainResult> {
    const { tracing, timer, settings } = processContext;
    const span = tracing.startClientSpan("upstream call", exchange.span);
    span.setAttributes({ address, attemptId });
    const result = await attemptPlain({
        address,
        method: exchange.request.method ?? "GET",
        path: call.path,
        headers: {
            "content-type": "application/json",
            ...headersToUpstream(exchange.request.headers),
            ...tracing.propagationHeaders(span),
            [headerNames.requestId]: exchange.requestId,
            [headerNames.attemptId]: attemptId,
        },
        body: call.body,
        needsNewConnection: !call.repeatable,
        connectTimeoutMs: settings.limits.connectTimeoutMs,
        timeoutMs: call.service.timeoutMs,
        timer,
    });
    span.setAttributes({ result: result.kind });
    span.end();
    logUnreadableAnswer(result, exchange, address, processContext);
    return result;
}
