/** Calls to plain services: repeatable ones may be tried again, others reach an upstream at most once. */
import { afterAttempt, type AttemptEnd, endingOf, isRepeatable, mayTryAgain, noAttempts } from "@rattanquay/core";
import { headerNames, type PlainService } from "@rattanquay/schema";
import { randomUUID } from "node:crypto";
import { admittedUnlessGone, isGone } from "./admitted";
import { readCallerBody } from "./callerBody";
import { type Reach } from "./callerDoor";
import { type Conclusion, type Exchange, refuse } from "./exchange";
import { headersToUpstream } from "./passedHeaders";
import { answerPlain, type Tried } from "./plainAnswer";
import { attemptPlain, type PlainResult } from "./plainAttempt";
import { claimAndAnswer } from "./plainClaim";

const maxAttempts = 3;
const idempotencyHeader = "idempotency-key";
const maxKeyLength = 255;

export type PlainCall = {
    readonly workspace: string;
    readonly service: PlainService;
    readonly path: string;
    readonly body: Buffer;
    readonly repeatable: boolean;
    /** The instant by which it must have been sent. */
    readonly startByMs: number;
};

export async function servePlain(exchange: Exchange, workspace: string, reach: Reach): Promise<Conclusion> {
    const [, , name = "", ...rest] = exchange.path.split("/");
    const service = exchange.snapshot.services.get(name);
    if (service?.kind !== "plain") {
        return refuse(exchange, "unknownModel", { detail: `Asked for: ${name}.` });
    }
    exchange.service = name;
    if (!exchange.snapshot.workspaces.get(workspace)?.services.includes(name)) {
        return refuse(exchange, "notAssigned", { detail: `Service: ${name}.` });
    }
    const body = await readCallerBody(exchange, reach.surroundings);
    if (body.kind === "ended") {
        return body.conclusion;
    }
    return answerByKey(exchange, callOf(exchange, workspace, service, rest, body.bytes), reach);
}

function callOf(
    { request, arrivedAtMs }: Exchange,
    workspace: string,
    service: PlainService,
    rest: readonly string[],
    body: Buffer,
): PlainCall {
    const query = (request.url ?? "").split("?")[1];
    const path = `/${rest.join("/")}`;
    return {
        workspace,
        service,
        path: query === undefined ? path : `${path}?${query}`,
        body,
        repeatable: isRepeatable(service, request.method ?? "GET", path),
        startByMs: arrivedAtMs + service.timeoutMs,
    };
}

async function answerByKey(exchange: Exchange, call: PlainCall, reach: Reach): Promise<Conclusion> {
    const key = exchange.request.headers[idempotencyHeader];
    if (call.repeatable || key === undefined) {
        return answerPlain(exchange, await tryUpstreams(exchange, call, reach));
    }
    if (typeof key !== "string" || key === "" || key.length > maxKeyLength) {
        const detail = `Idempotency-Key: send one, of 1 to ${maxKeyLength} characters.`;
        return refuse(exchange, "invalidRequest", { detail });
    }
    return claimAndAnswer(exchange, call, key, reach, () => tryUpstreams(exchange, call, reach));
}

/** What a result says of the attempt; nothing was sent where there was none. */
const endOf = {
    answered: "answered",
    unreached: "unreached",
    cut: "inDoubt",
    timedOut: "inDoubt",
    refused: "unreached",
    callerGone: "unreached",
} as const satisfies Record<Tried["kind"], AttemptEnd>;

async function tryUpstreams(exchange: Exchange, call: PlainCall, reach: Reach): Promise<Tried> {
    const budget = reach.retryBudget;
    const tried = new Set<string>();
    const rules = { isRepeatable: call.repeatable, maxAttempts };
    let attempts = noAttempts;
    let inDoubt: Tried | undefined;
    let last: Tried | undefined;
    budget.noteFirstAttempt();
    for (;;) {
        const id = `${exchange.requestId}/${randomUUID()}`;
        const admission = await admit(exchange, call, id, tried, reach);
        if (admission.kind !== "started") {
            return inDoubt ?? last ?? admission;
        }
        last = await sendIfStillRight(exchange, call, admission.replica.address, id, reach);
        reach.dispatch.release(id);
        reach.surroundings.metrics.attempts.inc({ service: exchange.service, result: last.kind });
        tried.add(admission.replica.replica);
        const end = endOf[last.kind];
        attempts = afterAttempt(attempts, end);
        inDoubt = end === "inDoubt" ? last : inDoubt;
        const isFinal = last.kind === "refused" || last.kind === "callerGone";
        if (isFinal || !mayTryAgain(attempts, end, rules) || !budget.spend()) {
            return endingOf(attempts, end) === "unknown" ? inDoubt ?? last : last;
        }
    }
}

function admit(exchange: Exchange, call: PlainCall, id: string, avoid: ReadonlySet<string>, { dispatch }: Reach) {
    const { workspace, service, startByMs } = call;
    return admittedUnlessGone(exchange.response, id, dispatch, () =>
        dispatch.admit({
            id,
            service: exchange.service,
            workspace,
            workClass: "short",
            priority: service.priority,
            startByMs,
            avoid,
        }));
}

/**
 * Checks once more, with no wait between the check and the send: a process that was frozen on the way, at the claim or in
 * the queue, must not run a call that its caller has given up, nor one at an upstream that has been taken away.
 */
async function sendIfStillRight(
    exchange: Exchange,
    call: PlainCall,
    address: string,
    attemptId: string,
    reach: Reach,
): Promise<Tried> {
    if (isGone(exchange.response)) {
        return { kind: "callerGone" };
    }
    if (reach.surroundings.timer.nowMs() >= call.startByMs) {
        return { kind: "refused", code: "overloaded", retryAfterMs: 1_000 };
    }
    const declared = reach.configuration.latest().snapshot.services.get(exchange.service);
    if (declared?.kind !== "plain" || !declared.upstreams.some(upstream => upstream.address === address)) {
        return { kind: "unreached" };
    }
    return send(exchange, call, address, attemptId, reach);
}

async function send(
    exchange: Exchange,
    call: PlainCall,
    address: string,
    attemptId: string,
    { surroundings }: Reach,
): Promise<PlainResult> {
    const { tracing, timer, settings } = surroundings;
    const span = tracing.startClient("upstream call", exchange.span);
    span.setAttributes({ address, attemptId });
    const result = await attemptPlain({
        address,
        method: exchange.request.method ?? "GET",
        path: call.path,
        headers: {
            "content-type": "application/json",
            ...headersToUpstream(exchange.request.headers),
            ...tracing.headersOf(span),
            [headerNames.requestId]: exchange.requestId,
            [headerNames.attemptId]: attemptId,
        },
        body: call.body,
        freshConnection: !call.repeatable,
        connectTimeoutMs: settings.limits.connectTimeoutMs,
        timeoutMs: call.service.timeoutMs,
        timer,
    });
    span.setAttributes({ result: result.kind });
    span.end();
    return result;
}
