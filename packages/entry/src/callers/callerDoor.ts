/** The callers' listener. */
import { makeRetryBudget, type RetryBudget } from "@rattanquay/core";
import { openListener, portOf } from "@rattanquay/http";
import { headerNames } from "@rattanquay/schema";
import { type Feed } from "@rattanquay/task";
import { randomUUID } from "node:crypto";
import { type IncomingMessage, type ServerResponse } from "node:http";
import { type Configuration } from "../config";
import { watchConnections } from "../connections";
import { type Dispatch } from "../dispatch";
import { bearerKey, hashKey } from "../keys";
import { type Surroundings } from "../surroundings";
import { serveChat } from "./chat";
import { type Claims, makeClaims } from "./claims";
import { conclude, type Conclusion, type Exchange, refuse } from "./exchange";
import { servePlain } from "./plain";

export type CallerDoor = {
    readonly port: number;
    /** Refuses new connections and resolves when every running answer has left this process. */
    readonly drain: () => Promise<void>;
    readonly inFlight: () => number;
    readonly close: () => void;
};

/** Whether the balancer should send requests here, and whether those that come all the same are served. */
export type Readiness = {
    readonly isReady: () => boolean;
    /** Holds on while the process is leaving: the balancer notices that late. */
    readonly mayServe: () => boolean;
};

/** What handlers reach besides the exchange itself. */
export type Reach = {
    readonly surroundings: Surroundings;
    readonly dispatch: Dispatch;
    readonly configuration: Feed<Configuration>;
    readonly claims: Claims;
    readonly retryBudget: RetryBudget;
    /** The caller address of an entry instance in another zone where the service is served. */
    readonly spillTarget: (service: string) => string | undefined;
};

type Handler = (exchange: Exchange, workspace: string, reach: Reach) => Promise<Conclusion>;

const chatPath = "/v1/chat/completions";
const modelsPath = "/v1/models";
const plainPrefix = "/services/";

export async function startCallerDoor(
    surroundings: Surroundings,
    configuration: Feed<Configuration>,
    dispatch: Dispatch,
    readiness: Readiness,
    spillTarget: Reach["spillTarget"],
): Promise<CallerDoor> {
    const retryBudget = makeRetryBudget(surroundings.settings.limits.retryShare);
    const claims = makeClaims(surroundings);
    const reach: Reach = { surroundings, dispatch, configuration, claims, retryBudget, spillTarget };
    const serve = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
        const path = (request.url ?? "/").split("?")[0]!;
        if (answerProbe(path, response, readiness)) {
            return;
        }
        const exchange = openExchange(request, response, path, surroundings, configuration);
        // A process that is leaving still serves whoever has not heard of it yet.
        const conclusion = readiness.mayServe()
            ? await route(exchange, reach)
            : refuse(exchange, "notReady", { retryAfterMs: 1_000 });
        conclude(exchange, conclusion, surroundings);
    };

    const server = await openListener(surroundings.settings.listeners.callers, (request, response) => {
        serve(request, response).catch(error => surroundings.onBroken("callerDoor", error));
    });
    const connections = watchConnections(server, "callers", surroundings);
    return {
        port: portOf(server),
        inFlight: connections.running,
        drain: connections.drain,
        close: connections.close,
    };
}

function answerProbe(path: string, response: ServerResponse, { isReady }: Readiness): boolean {
    if (path !== "/readyz" && path !== "/healthz") {
        return false;
    }
    const good = path === "/healthz" || isReady();
    response.writeHead(good ? 200 : 503, { "content-type": "text/plain" });
    response.end(good ? "ok\n" : "not ready\n");
    return true;
}

function openExchange(
    request: IncomingMessage,
    response: ServerResponse,
    path: string,
    { timer, tracing }: Surroundings,
    configuration: Feed<Configuration>,
): Exchange {
    const given = request.headers[headerNames.requestId];
    const requestId = typeof given === "string" && given.length <= 128 ? given : randomUUID();
    const span = tracing.startServer(`${request.method} ${path}`, request.headers);
    response.setHeader(headerNames.requestId, requestId);
    return {
        requestId,
        request,
        response,
        path,
        span,
        arrivedAtMs: timer.nowMs(),
        snapshot: configuration.latest().snapshot,
        service: "none",
    };
}

async function route(exchange: Exchange, reach: Reach): Promise<Conclusion> {
    const key = bearerKey(exchange.request.headers.authorization);
    if (key === undefined) {
        return refuse(exchange, "missingKey");
    }
    const workspace = exchange.snapshot.workspaceOfKey.get(hashKey(key));
    if (workspace === undefined) {
        return refuse(exchange, "wrongKey");
    }
    const handler = handlerOf(exchange);
    return handler === undefined ? refuse(exchange, "unknownPath") : handler(exchange, workspace, reach);
}

const exactHandlers: Readonly<Record<string, Handler>> = {
    [`POST ${chatPath}`]: serveChat,
    [`GET ${modelsPath}`]: serveModels,
};

function handlerOf({ request, path }: Exchange): Handler | undefined {
    return exactHandlers[`${request.method} ${path}`] ?? (path.startsWith(plainPrefix) ? servePlain : undefined);
}

async function serveModels({ response, snapshot }: Exchange, workspace: string): Promise<Conclusion> {
    const assigned = snapshot.workspaces.get(workspace)?.services ?? [];
    const data = assigned
        .filter(name => snapshot.services.get(name)?.kind === "model")
        .map(id => ({ id, object: "model", owned_by: workspace }));
    response.writeHead(200, { "content-type": "application/json" });
    response.end(JSON.stringify({ object: "list", data }));
    return { ending: "answered", code: "ok" };
}
