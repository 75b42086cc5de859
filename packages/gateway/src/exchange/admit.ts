/** Admits a request: finds its route and workspace and reads its body, then runs it or refuses it with a reason. */
import {
    chooseService,
    intersectRegions,
    isFinalRefusal,
    isSendableHeaderValue,
    isSendableTarget,
    urgencyOf,
} from "@rattanquay/core";
import { type CallerConnection, type HeldRequest } from "@rattanquay/peer";
import { type ServingRoute } from "@rattanquay/schema";
import { type IncomingMessage, type ServerResponse } from "node:http";
import { isEvacuationKnown } from "../clusterState";
import { type CallerRequest } from "../ports";
import { type AdmittedRequest } from "./admittedRequest";
import { type CallerAnswer, type CallerResponse, makeCallerAnswer } from "./callerAnswer";
import { type ExchangeOutcome, runExchange } from "./exchange";
import { type ExchangeDependencies } from "./exchangeDependencies";
import {
    type AnswerSource,
    type DecisionBasis,
    describeDecision,
    isRecentlyConfirmed,
    type MeasuredBody,
} from "./finalRefusal";
import { spreadRetryMs } from "./loadShedding";
import { type Refusal, refusals, refuse } from "./refusals";
import { findTarget, type FoundTarget, type MeasuredHead, readBasis } from "./target";
import { decideUnreadBody, maxBodyBytes } from "./unreadBody";

type Arrival = {
    readonly request: IncomingMessage;
    readonly response: CallerResponse;
    readonly answer: CallerAnswer;
    readonly caller: CallerRequest;
    readonly connection: CallerConnection;
    readonly arrivedAtMs: number;
};

/** Retry delay while no configuration is known or confirmed: the process should have read the newest one by then. */
const startRetryAfterMs = 500;

/** The code of a refusal that is not final only because the configuration is not confirmed. */
const unconfirmedCode: Refusal = "unconfirmedConfiguration";

/** Serves one request. Each request writes exactly one `requestEnded` log line. */
export async function serveRequest(
    request: IncomingMessage,
    response: ServerResponse,
    connection: CallerConnection,
    isInExcess: boolean,
    dependencies: ExchangeDependencies,
): Promise<void> {
    const { timer, ports } = dependencies.context;
    const caller = ports.requestCodec.readRequest(request);
    const answer = makeCallerAnswer(response, caller.lastEventId);
    const arrival: Arrival = { request, response, answer, caller, connection, arrivedAtMs: timer.nowMs() };
    const held = dependencies.callerMemory.hold(request, response);
    const basis = readBasis(dependencies);
    if (isInExcess) {
        refuseArrival(arrival, "busy", dependencies, { basis });
        return;
    }
    if (basis === undefined || !isEvacuationKnown(dependencies.context.settings, dependencies.clusterState)) {
        refuseArrival(arrival, "noConfiguration", dependencies, {});
        return;
    }
    if (!isSendableTarget(request.url ?? "/")) {
        refuseArrival(arrival, "unreadablePath", dependencies, { basis });
        return;
    }
    const found = findTarget(arrival, basis, dependencies);
    // Without a wait, the body is read from the same turn of the event loop on.
    const target = found instanceof Promise ? await found : found;
    if (target.kind === "refused") {
        refuseArrival(arrival, target.refusal, dependencies, target);
        return;
    }
    if (target.kind === "gone") {
        recordGone(arrival, dependencies, target);
        return;
    }
    await serveTarget(arrival, target, held, dependencies);
}

async function serveTarget(
    arrival: Arrival,
    { basis, route, workspace }: FoundTarget,
    held: HeldRequest,
    dependencies: ExchangeDependencies,
): Promise<void> {
    const { caller } = arrival;
    const { routes } = basis;
    if (workspace !== undefined && !isSendableHeaderValue(workspace.workspace)) {
        refuseArrival(arrival, "unsendableWorkspace", dependencies, { basis, route });
        return;
    }
    const waitedMs = dependencies.context.timer.nowMs() - arrival.arrivedAtMs;
    const reading = await held.readBody({
        maxBytes: () => maxBodyBytes(routes, dependencies),
        limitMs: Math.max(0, bodyLimitMs(caller, route) - waitedMs),
    });
    if (reading.kind !== "read") {
        const decided = await decideUnreadBody(arrival, reading, basis, dependencies);
        const decision = { ...decided, route };
        if (decided.kind === "gone") {
            recordGone(arrival, dependencies, decision);
        }
        else {
            refuseArrival(arrival, decided.refusal, dependencies, decision);
        }
        return;
    }
    const service = routes.findService(chooseService(route, dependencies.context.random()) ?? "");
    if (service === undefined) {
        refuseArrival(arrival, "noUpstream", dependencies, { basis });
        return;
    }
    const waitMs = Math.min(route.timeoutMs, caller.deadlineMs ?? route.timeoutMs);
    const admitted: AdmittedRequest = {
        ...arrival,
        route,
        service,
        workspace: workspace?.workspace,
        urgency: urgencyOf(route, workspace),
        urgencies: routes.urgenciesOf(service.service),
        allowedRegions: intersectRegions(route.allowedRegions, workspace?.allowedRegions),
        configVersion: routes.version,
        body: reading.body,
        held,
        endByMs: arrival.arrivedAtMs + waitMs,
        isRepeatable: route.kind === "idempotent" || (route.kind === "streaming" && route.isResumable),
    };
    runExchange(admitted, dependencies, outcome => recordEnd(arrival, outcome, dependencies, { basis, route }));
}

function bodyLimitMs({ deadlineMs }: CallerRequest, { timeoutMs }: ServingRoute): number {
    return Math.min(timeoutMs, deadlineMs ?? timeoutMs);
}

function recordGone(arrival: Arrival, dependencies: ExchangeDependencies, decision: Decision): void {
    recordEnd(arrival, { ending: "callerGone", code: "callerGone", status: 0 }, dependencies, decision);
}

function refuseArrival(
    arrival: Arrival,
    refusal: Refusal,
    dependencies: ExchangeDependencies,
    decision: Decision,
): void {
    const { request, answer } = arrival;
    const retryDelayMs = spreadRetryMs(startRetryAfterMs, dependencies);
    refuse(answer, request, refusal, dependencies.context.ports.requestCodec, retryDelayMs);
    const { status, ending } = refusals[refusal];
    recordEnd(arrival, { ending, code: refusal, status }, dependencies, decision);
}

/** What was found out about a request before it ended. */
type Decision = {
    /** Undefined if no configuration was in force. */
    readonly basis?: DecisionBasis | undefined;
    readonly route?: ServingRoute;
    readonly body?: MeasuredBody | undefined;
    readonly source?: AnswerSource | undefined;
    readonly measured?: MeasuredHead;
};

function recordEnd(
    arrival: Arrival,
    outcome: ExchangeOutcome,
    dependencies: ExchangeDependencies,
    decision: Decision,
): void {
    const { caller, request, arrivedAtMs } = arrival;
    const { log, metrics, timer } = dependencies.context;
    const { answerSource, ...loggedOutcome } = outcome;
    const { ending, status } = outcome;
    metrics.requests.inc({ kind: decision.route?.kind ?? "none", ending, status: String(status) });
    log.info("requestEnded", {
        requestId: caller.requestId,
        path: request.url,
        route: decision.route?.name,
        configVersion: decision.basis?.routes.version,
        ...loggedOutcome,
        ...decision.measured,
        durationMs: Math.round(timer.nowMs() - arrivedAtMs),
        ...decisionFields(arrival, loggedOutcome, { ...decision, source: answerSource }, dependencies),
        ...stopFields(arrival, dependencies),
    });
}

/** For an answer that tells the caller that it is wrong, or that would if the configuration were confirmed: what that rests on. */
function decisionFields(
    { caller, request }: Arrival,
    { code, status }: ExchangeOutcome,
    { basis, route, body, source }: Decision,
    { context: { metrics } }: ExchangeDependencies,
) {
    const isFinal = isFinalRefusal(status);
    if (basis === undefined || !isFinal && code !== unconfirmedCode) {
        return {};
    }
    if (isFinal) {
        metrics.finalRefusals.inc({ code, isConfirmed: String(isRecentlyConfirmed(basis)) });
    }
    const refusal = { host: request.headers.host, key: caller.key, route, body, source };
    return { decidedOn: describeDecision(basis, refusal) };
}

/** For a request that ends while the process stops: how late in the stop it came, and on what kind of connection. */
function stopFields({ connection, arrivedAtMs }: Arrival, { lifetime }: ExchangeDependencies) {
    const stop = lifetime.stop();
    return stop === undefined ? {} : {
        sinceStopMs: Math.round(arrivedAtMs - stop.sinceMs),
        connectionAgeMs: Math.round(arrivedAtMs - connection.openedAtMs),
        connectionRequests: connection.requests,
    };
}
