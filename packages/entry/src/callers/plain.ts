/** Calls to plain services: repeatable ones may be tried again, others reach an upstream at most once. */
import { isRepeatable } from "@rattanquay/core";
import { headerNames, type PlainService } from "@rattanquay/schema";
import { randomUUID } from "node:crypto";
import { digestOf } from "../tickets";
import { readBody } from "./body";
import { type Reach } from "./callerDoor";
import { type Claim, type Settlement } from "./claims";
import { type Conclusion, type Exchange, refuse } from "./exchange";
import { attemptPlain, type PlainResult } from "./plainAttempt";

const maxAttempts = 3;
const idempotencyHeader = "idempotency-key";

type Call = {
    readonly workspace: string;
    readonly service: PlainService;
    readonly path: string;
    readonly body: string;
    readonly repeatable: boolean;
};

export async function servePlain(exchange: Exchange, workspace: string, reach: Reach): Promise<Conclusion> {
    const { settings, timer } = reach.surroundings;
    const [, , name = "", ...rest] = exchange.path.split("/");
    const service = exchange.snapshot.services.get(name);
    if (service?.kind !== "plain") {
        return refuse(exchange, "unknownModel", { detail: `Asked for: ${name}.` });
    }
    exchange.service = name;
    if (!exchange.snapshot.workspaces.get(workspace)?.services.includes(name)) {
        return refuse(exchange, "notAssigned", { detail: `Service: ${name}.` });
    }
    const body = await readBody(exchange.request, settings.limits, timer);
    if (body.kind === "gone") {
        return { ending: "notRun", code: "callerGone" };
    }
    if (body.kind === "failed") {
        exchange.response.setHeader("connection", "close");
        return refuse(exchange, body.code);
    }
    const query = (exchange.request.url ?? "").split("?")[1];
    const path = `/${rest.join("/")}`;
    const call: Call = {
        workspace,
        service,
        path: query === undefined ? path : `${path}?${query}`,
        body: body.text,
        repeatable: isRepeatable(service, exchange.request.method ?? "GET", path),
    };
    const key = exchange.request.headers[idempotencyHeader];
    return call.repeatable || typeof key !== "string"
        ? answerCall(exchange, call, reach)
        : claimAndAnswer(exchange, call, key, reach);
}

async function claimAndAnswer(exchange: Exchange, call: Call, key: string, reach: Reach): Promise<Conclusion> {
    const digest = digestOf([exchange.request.method, call.path, call.body]);
    const { requestId, service } = exchange;
    const claim = await reach.claims.claim({ service, workspace: call.workspace, key, digest, requestId });
    const handler = claimHandlers[claim.kind] as (
        claim: Claim,
        exchange: Exchange,
        call: Call,
        reach: Reach,
    ) => Promise<Conclusion>;
    return handler(claim, exchange, call, reach);
}

const claimHandlers: {
    readonly [K in Claim["kind"]]: (
        claim: Extract<Claim, { readonly kind: K }>,
        exchange: Exchange,
        call: Call,
        reach: Reach,
    ) => Promise<Conclusion>;
} = {
    granted: (claim, exchange, call, reach) => answerCall(exchange, call, reach, claim.settle),
    answered: async ({ row }, { response }) => {
        response.writeHead(row.status ?? 200, {
            "content-type": row.contentType ?? "application/json",
            "idempotent-replayed": "true",
        });
        response.end(row.body);
        return { ending: "answered", code: "replayed" };
    },
    inDoubt: async (unusedClaim, exchange) => refuse(exchange, "inDoubt"),
    keyReused: async (unusedClaim, exchange) => refuse(exchange, "keyReused"),
    unavailable: async (unusedClaim, exchange) => refuse(exchange, "platformUnavailable", { retryAfterMs: 1_000 }),
};

async function answerCall(
    exchange: Exchange,
    call: Call,
    reach: Reach,
    settle: (outcome: Settlement) => Promise<void> = async () => undefined,
): Promise<Conclusion> {
    const result = await tryUpstreams(exchange, call, reach);
    if (result.kind === "refused") {
        await settle({ state: "notRun" });
        return refuse(exchange, result.code, { retryAfterMs: result.retryAfterMs });
    }
    if (result.kind === "unreached") {
        await settle({ state: "notRun" });
        return refuse(exchange, "upstreamUnreachable", { retryAfterMs: 1_000 });
    }
    if (result.kind === "answered") {
        const { status, contentType, body } = result;
        await settle({ state: "answered", status, contentType, body });
        exchange.response.writeHead(status, { "content-type": contentType });
        exchange.response.end(body);
        return { ending: "answered", code: "ok" };
    }
    return refuse(exchange, result.kind === "timedOut" ? "upstreamTimeout" : "upstreamFailed");
}

type Tried = PlainResult | {
    readonly kind: "refused";
    readonly code: "noReplica" | "overloaded";
    readonly retryAfterMs: number;
};

async function tryUpstreams(exchange: Exchange, call: Call, reach: Reach): Promise<Tried> {
    const budget = reach.retryBudget;
    const tried = new Set<string>();
    let last: Tried | undefined;
    budget.noteFirstAttempt();
    for (let attempt = 1;; attempt++) {
        const id = `${exchange.requestId}/${randomUUID()}`;
        const grant = await admit(exchange, call, id, tried, reach);
        if (grant.kind === "refused") {
            return last ?? grant;
        }
        last = await runAttempt(exchange, call, grant.replica.address, id, reach);
        reach.dispatch.release(id);
        reach.surroundings.metrics.attempts.inc({ service: exchange.service, result: last.kind });
        tried.add(grant.replica.replica);
        const mayRepeat = last.kind === "unreached" || (call.repeatable && last.kind !== "answered");
        if (!mayRepeat || attempt >= maxAttempts || !budget.spend()) {
            return last;
        }
    }
}

function admit(exchange: Exchange, call: Call, id: string, avoid: ReadonlySet<string>, { dispatch }: Reach) {
    const { workspace, service } = call;
    const startByMs = exchange.arrivedAtMs + service.timeoutMs;
    return dispatch.admit({
        id,
        service: exchange.service,
        workspace,
        workClass: "short",
        priority: service.priority,
        startByMs,
        avoid,
    });
}

async function runAttempt(
    exchange: Exchange,
    call: Call,
    address: string,
    attemptId: string,
    { surroundings }: Reach,
): Promise<PlainResult> {
    const span = surroundings.tracing.startClient("upstream call", exchange.span);
    span.setAttributes({ address, attemptId });
    const result = await attemptPlain({
        address,
        method: exchange.request.method ?? "GET",
        path: call.path,
        headers: {
            ...surroundings.tracing.headersOf(span),
            "content-type": exchange.request.headers["content-type"] ?? "application/json",
            [headerNames.requestId]: exchange.requestId,
            [headerNames.attemptId]: attemptId,
        },
        body: call.body,
        freshConnection: !call.repeatable,
        timeoutMs: call.service.timeoutMs,
    });
    span.setAttributes({ result: result.kind });
    span.end();
    return result;
}
