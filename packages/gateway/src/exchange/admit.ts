/** Takes a request in: its route, its workspace, its body; then it runs, or is refused for a stated reason. */
import { chooseService, type RouteTable } from "@rattanquay/core";
import { readBody } from "@rattanquay/http";
import { type ServingRoute } from "@rattanquay/schema";
import { type IncomingMessage, type ServerResponse } from "node:http";
import { type CallerRequest } from "../ports";
import { type Conclusion, runExchange } from "./exchange";
import { type Job } from "./job";
import { type Reach } from "./reach";
import { type Refusal, refusals, refuse } from "./refusals";

type Arrival = {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly caller: CallerRequest;
    readonly arrivedAtMs: number;
};

/** When a process that has just started expects to know a configuration. */
const startRetryAfterMs = 500;

/** Serves one request; every way out writes one log line. */
export async function serveRequest(request: IncomingMessage, response: ServerResponse, reach: Reach): Promise<void> {
    const { timer, ports } = reach.surroundings;
    const caller = ports.wire.readRequest(request);
    const arrival: Arrival = { request, response, caller, arrivedAtMs: timer.nowMs() };
    const routes = reach.beliefs.routes();
    if (routes === undefined) {
        end(arrival, "noConfiguration", reach, undefined);
        return;
    }
    const route = routes.findRoute(request.headers.host, request.url ?? "/");
    if (route === undefined) {
        end(arrival, "unknownRoute", reach, routes);
        return;
    }
    const isOpen = route.isPublic || !routes.asksForKeys;
    const workspace = caller.key === undefined ? undefined : routes.workspaceOfKey(caller.key);
    if (!isOpen && workspace === undefined) {
        end(arrival, "unknownKey", reach, routes);
        return;
    }
    const { bounds } = routes.config;
    const waitMs = Math.min(route.timeoutMs, caller.deadlineMs ?? route.timeoutMs);
    const body = await readBody(request, { maxBytes: bounds.maxBodyBytes, timeoutMs: waitMs }, timer);
    if (body.kind !== "read") {
        endUnread(arrival, body.kind, reach, routes);
        return;
    }
    const service = routes.serviceOf(chooseService(route, reach.surroundings.random()) ?? "");
    if (service === undefined) {
        end(arrival, "noUpstream", reach, routes);
        return;
    }
    const job: Job = {
        ...arrival,
        route,
        service,
        workspace: workspace?.workspace,
        configVersion: routes.version,
        body: body.bytes,
        endByMs: arrival.arrivedAtMs + waitMs,
        isRepeatable: route.kind === "idempotent" || (route.kind === "streaming" && route.isResumable),
    };
    runExchange(job, reach, conclusion => record(arrival, conclusion, reach, { route, version: routes.version }));
}

const unread = {
    tooLarge: "bodyTooLarge",
    late: "bodyTimeout",
    gone: undefined,
} as const;

function endUnread(arrival: Arrival, kind: keyof typeof unread, reach: Reach, routes: RouteTable): void {
    const refusal = unread[kind];
    if (refusal === undefined) {
        record(arrival, { ending: "callerGone", code: "callerGone", status: 0 }, reach, { version: routes.version });
        return;
    }
    end(arrival, refusal, reach, routes);
}

function end(arrival: Arrival, refusal: Refusal, reach: Reach, routes: RouteTable | undefined): void {
    const { request, response } = arrival;
    refuse(response, request, refusal, reach.surroundings.ports.wire, startRetryAfterMs);
    const { status, ending } = refusals[refusal];
    record(arrival, { ending, code: refusal, status }, reach, { version: routes?.version });
}

type Decided = { readonly route?: ServingRoute; readonly version: number | undefined };

function record(
    { caller, request, arrivedAtMs }: Arrival,
    conclusion: Conclusion,
    reach: Reach,
    decided: Decided,
): void {
    const { log, metrics, timer } = reach.surroundings;
    const { ending, status } = conclusion;
    metrics.requests.inc({ kind: decided.route?.kind ?? "none", ending, status: String(status) });
    log.info("requestEnded", {
        requestId: caller.requestId,
        path: request.url,
        route: decided.route?.name,
        configVersion: decided.version,
        ...conclusion,
        durationMs: Math.round(timer.nowMs() - arrivedAtMs),
    });
}
