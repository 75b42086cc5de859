/** The HTTP listener that callers send their requests to. */
import { makeRetryBudget, type RetryBudget } from "@rattanquay/core";
import { type CallerGate, type HeldRequest, makeCallerConnections, makeCallerGate } from "@rattanquay/peer";
import { headerNames } from "@rattanquay/schema";
import { randomUUID } from "node:crypto";
import { type IncomingMessage, type ServerResponse } from "node:http";
import { type ConfigTask, type Configuration } from "../config";
import { trackConnections } from "../connectionTracker";
import { type Dispatch } from "../dispatch";
import { hashKey, parseBearerKey } from "../keys";
import { openListener, portOf } from "../listener";
import { type ProcessContext } from "../processContext";
import { startCallerMemory } from "./callerMemory";
import { serveChat } from "./chat";
import { type Claims, makeClaims } from "./claims";
import { lookUp, refuseMissing } from "./confirmedLookup";
import { ageOf, type Exchange, recordOutcome, type RequestOutcome, sendError } from "./exchange";
import { servePlain } from "./plain";

export type CallerListener = {
    readonly port: number;
    /** Refuses new connections and resolves when every running response has been sent completely. */
    readonly drain: () => Promise<void>;
    readonly inFlight: () => number;
    readonly close: () => void;
};

/** Whether the load balancer should send requests here, and whether requests that arrive anyway are served. */
export type Readiness = {
    readonly isReady: () => boolean;
    /** Stays true during the notice period of a graceful shutdown, because the load balancer notices it late. */
    readonly mayServe: () => boolean;
};

/** The configuration as this process knows it, and a way to have it confirmed by the table. */
export type ConfirmableConfiguration = Pick<ConfigTask, "feed" | "confirm">;

/** The dependencies of request handlers. */
export type HandlerContext = {
    readonly processContext: ProcessContext;
    readonly dispatch: Dispatch;
    readonly configuration: ConfirmableConfiguration;
    readonly claims: Claims;
    readonly retryBudget: RetryBudget;
    /** The caller address of an entry instance in another availability zone that serves the service. */
    readonly spillTarget: (service: string) => string | undefined;
};

type Handler = (exchange: Exchange, workspace: string, context: HandlerContext) => Promise<RequestOutcome>;

/** Retry delay of requests that this process does not take in now. */
const refusalRetryMs = 1_000;
/** The version of HTTP in which a request without a `Host` header is malformed. */
const hostRequiredVersion = "1.1";
const chatPath = "/v1/chat/completions";
const modelsPath = "/v1/models";
const plainPrefix = "/services/";

export async function startCallerListener(
    processContext: ProcessContext,
    configuration: ConfirmableConfiguration,
    dispatch: Dispatch,
    readiness: Readiness,
    spillTarget: HandlerContext["spillTarget"],
): Promise<CallerListener> {
    const retryBudget = makeRetryBudget(processContext.settings.limits.retryShare);
    const claims = makeClaims(processContext);
    const context: HandlerContext = { processContext, dispatch, configuration, claims, retryBudget, spillTarget };
    const memory = startCallerMemory(processContext);
    const serve = async (
        request: IncomingMessage,
        response: ServerResponse,
        isInExcess: boolean,
    ): Promise<void> => {
        const path = (request.url ?? "/").split("?")[0]!;
        if (answerProbe(path, response, readiness)) {
            return;
        }
        const held = memory.hold(request, response);
        const exchange = makeExchange(request, response, held, path, processContext, configuration.feed.latest());
        // Later in a shutdown, connections that are still open bring requests that could outlast this process.
        const refusal = isInExcess ? "busy" : readiness.mayServe() ? undefined : "notReady";
        const outcome = refusal === undefined
            ? await route(exchange, context)
            : sendError(exchange, refusal, { retryAfterMs: refusalRetryMs });
        recordOutcome(exchange, outcome, processContext);
    };

    const server = await openListener(processContext.settings.listeners.callers, (request, response) => {
        const entry = gate.enter(request, response);
        if (entry.kind === "closed") {
            return;
        }
        serve(request, response, entry.isInExcess).catch(error => processContext.onFatalError("callerListener", error));
    });
    const callerConnections = makeCallerConnections(processContext.timer.nowMs);
    const gate: CallerGate = makeCallerGate(server, callerConnections, memory);
    const connections = trackConnections(server, "callers", processContext, callerConnections);
    return {
        port: portOf(server),
        inFlight: connections.running,
        drain: connections.drain,
        close: () => {
            connections.close();
            memory.stop();
        },
    };
}

function answerProbe(path: string, response: ServerResponse, { isReady }: Readiness): boolean {
    if (path !== "/readyz" && path !== "/healthz") {
        return false;
    }
    const isHealthy = path === "/healthz" || isReady();
    response.writeHead(isHealthy ? 200 : 503, { "content-type": "text/plain" });
    response.end(isHealthy ? "ok\n" : "not ready\n");
    return true;
}

function makeExchange(
    request: IncomingMessage,
    response: ServerResponse,
    held: HeldRequest,
    path: string,
    { timer, tracing }: ProcessContext,
    configuration: Configuration,
): Exchange {
    const receivedId = request.headers[headerNames.requestId];
    const requestId = typeof receivedId === "string" && receivedId.length <= 128 ? receivedId : randomUUID();
    const span = tracing.startServerSpan(`${request.method} ${path}`, request.headers);
    response.setHeader(headerNames.requestId, requestId);
    const arrivedAtMs = timer.nowMs();
    return {
        requestId,
        request,
        response,
        held,
        path,
        span,
        arrivedAtMs,
        snapshot: configuration.snapshot,
        configurationAge: ageOf(configuration, arrivedAtMs),
        service: "none",
    };
}

async function route(exchange: Exchange, context: HandlerContext): Promise<RequestOutcome> {
    const { headers, httpVersion } = exchange.request;
    if (headers.host === undefined && httpVersion === hostRequiredVersion) {
        return sendError(exchange, "malformedRequest");
    }
    const key = parseBearerKey(exchange.request.headers.authorization);
    if (key === undefined) {
        return sendError(exchange, "missingKey");
    }
    const hash = hashKey(key);
    const workspace = await lookUp(exchange, context, ({ workspaceOfKey }) => workspaceOfKey.get(hash));
    if (workspace.kind === "missing") {
        return refuseMissing(exchange, workspace, "wrongKey");
    }
    if (exchange.request.destroyed) {
        return { ending: "notRun", code: "callerGone" };
    }
    exchange.workspace = workspace.value;
    const handler = handlerOf(exchange);
    return handler === undefined ? sendError(exchange, "unknownPath") : handler(exchange, workspace.value, context);
}

const exactHandlers: Readonly<Record<string, Handler>> = {
    [`POST ${chatPath}`]: serveChat,
    [`GET ${modelsPath}`]: serveModels,
};

function handlerOf({ request, path }: Exchange): Handler | undefined {
    return exactHandlers[`${request.method} ${path}`] ?? (path.startsWith(plainPrefix) ? servePlain : undefined);
}

async function serveModels({ response, snapshot }: Exchange, workspace: string): Promise<RequestOutcome> {
    const assigned = snapshot.workspaces.get(workspace)?.services ?? [];
    const data = assigned
        .filter(name => snapshot.services.get(name)?.kind === "model")
        .map(id => ({ id, object: "model", owned_by: workspace }));
    response.writeHead(200, { "content-type": "application/json" });
    response.end(JSON.stringify({ object: "list", data }));
    return { ending: "answered", code: "ok" };
}
