/** The operators' HTTP listener. Metrics and health checks are public; everything else requires an operator's key. */
import { check, formatFaults, Ticket, type Verdict } from "@rattanquay/schema";
import { type ObservableValue } from "@rattanquay/task";
import { type IncomingMessage, type ServerResponse } from "node:http";
import { parseJson } from "../callers/body";
import { type Configuration } from "../config";
import { trackConnections } from "../connectionTracker";
import { type Control } from "../control";
import { type Fleet } from "../fleet";
import { hashKey, parseBearerKey } from "../keys";
import { openListener, portOf } from "../listener";
import { type Peers } from "../peers";
import { type ProcessContext } from "../processContext";
import { type AcceptedTicket, listTickets, readTicket, submitTicket } from "../tickets";
import { configInForce } from "./configInForce";
import { readOperatorBody } from "./operatorBody";
import { processStatus } from "./status";
import { ticketStatusResponse } from "./ticketStatus";

export type OperatorListener = { readonly port: number; readonly close: () => void };

type Dependencies = {
    readonly context: ProcessContext;
    readonly configuration: ObservableValue<Configuration>;
    readonly applyAccepted: (acceptance: AcceptedTicket) => void;
    readonly fleet: Fleet;
    readonly control: Control;
    readonly peers: Peers;
    readonly isReady: () => boolean;
};

type JsonResponse = { readonly status: number; readonly body: unknown };

type RequestHandler = (request: IncomingMessage, path: string, dependencies: Dependencies) => Promise<JsonResponse>;

const statusByVerdict: Record<Verdict["kind"], number> = {
    accepted: 200,
    numberTaken: 409,
    overtaken: 409,
    tooOld: 409,
    unavailable: 503,
};

const handlers: Readonly<Record<string, RequestHandler>> = {
    "GET /v1/status": async (unusedRequest, unusedPath, { context, configuration, fleet, peers, control }) => ({
        status: 200,
        body: processStatus(context, configuration.latest(), fleet.feed.latest(), peers.feed.latest(), {
            holdsLease: control.holdsLease(),
        }),
    }),
    "GET /v1/config": async (unusedRequest, unusedPath, { context, configuration }) => ({
        status: 200,
        body: configInForce(context, configuration.latest()),
    }),
    "GET /v1/tickets/N/status": async (unusedRequest, path, { context, peers }) =>
        ticketStatusResponse(context.table, peers, Number(path.split("/")[3])),
    "GET /v1/tickets": async (unusedRequest, unusedPath, { context }) => {
        const outcome = await listTickets(context.table);
        return outcome.kind === "done" ? { status: 200, body: outcome.value } : tableUnavailable();
    },
    "GET /v1/tickets/": async (unusedRequest, path, { context }) => {
        const number = Number(path.split("/")[3]);
        const outcome = await readTicket(context.table, number);
        if (outcome.kind !== "done") {
            return tableUnavailable();
        }
        return outcome.value === undefined
            ? { status: 404, body: errorBody(`Ticket ${number} was never accepted.`) }
            : { status: 200, body: outcome.value };
    },
    "POST /v1/tickets": postTicket,
};

export async function startOperatorListener(dependencies: Dependencies): Promise<OperatorListener> {
    const server = await openListener(dependencies.context.settings.listeners.operators, (request, response) => {
        handleRequest(request, response, dependencies).catch(error =>
            dependencies.context.onFatalError("operatorListener", error)
        );
    });
    const connections = trackConnections(server, "operators", dependencies.context);
    return { port: portOf(server), close: connections.close };
}

async function handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
    dependencies: Dependencies,
): Promise<void> {
    const path = (request.url ?? "/").split("?")[0]!;
    const publicResult = await publicResponse(path, dependencies);
    if (publicResult !== undefined) {
        response.writeHead(publicResult.status, { "content-type": "text/plain" });
        response.end(publicResult.text);
        return;
    }
    const result = await authenticatedResponse(request, path, dependencies);
    response.writeHead(result.status, { "content-type": "application/json" });
    response.end(JSON.stringify(result.body));
}

async function publicResponse(
    path: string,
    { context, isReady }: Dependencies,
): Promise<{ readonly status: number; readonly text: string } | undefined> {
    const routes: Readonly<Record<string, () => Promise<{ readonly status: number; readonly text: string }>>> = {
        "/metrics": async () => ({ status: 200, text: await context.metrics.registry.metrics() }),
        "/healthz": async () => ({ status: 200, text: "ok\n" }),
        "/readyz": async () => isReady() ? { status: 200, text: "ok\n" } : { status: 503, text: "not ready\n" },
    };
    return routes[path]?.();
}

async function authenticatedResponse(
    request: IncomingMessage,
    path: string,
    dependencies: Dependencies,
): Promise<JsonResponse> {
    const key = parseBearerKey(request.headers.authorization);
    const operator = dependencies.context.settings.operators.find(({ keySha256 }) =>
        key !== undefined && keySha256 === hashKey(key)
    );
    if (operator === undefined) {
        return { status: 401, body: errorBody("No operator has this key. Send it as 'Authorization: Bearer KEY'.") };
    }
    const handler = handlers[`${request.method} ${path}`]
        ?? handlers[`${request.method} ${path.replace(/\/\d+\/status$/, "/N/status")}`]
        ?? handlers[`${request.method} ${path.replace(/[^/]+$/, "")}`];
    return handler === undefined
        ? { status: 404, body: errorBody(`No such path: ${path}.`) }
        : handler(request, path, dependencies);
}

async function postTicket(
    request: IncomingMessage,
    unusedPath: string,
    { context, applyAccepted }: Dependencies,
): Promise<JsonResponse> {
    const { settings, timer, table, log } = context;
    const body = await readOperatorBody(request, settings.limits, timer);
    const parsed = body === undefined ? undefined : parseJson(body.toString("utf8"));
    if (parsed === undefined) {
        return { status: 400, body: errorBody("The ticket is not valid JSON.") };
    }
    const validation = check(Ticket, parsed.value);
    if (validation.kind === "invalid") {
        return { status: 400, body: errorBody(formatFaults(validation.faults)) };
    }
    const verdict = await submitTicket(table, validation.value, applyAccepted);
    log.info("ticketJudged", { ...verdict, kind: undefined, verdict: verdict.kind });
    return { status: statusByVerdict[verdict.kind], body: verdict };
}

function tableUnavailable(): JsonResponse {
    return { status: 503, body: errorBody("The platform's table does not answer. Try again.") };
}

function errorBody(message: string): { readonly error: { readonly message: string } } {
    return { error: { message } };
}
