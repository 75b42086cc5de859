/** The operators' listener. Metrics and probes are open; everything else asks for an operator's key. */
import { openListener, portOf, readBody } from "@rattanquay/http";
import { check, parseJson, renderFaults, Ticket, type Verdict } from "@rattanquay/schema";
import { type Feed } from "@rattanquay/task";
import { type IncomingMessage, type ServerResponse } from "node:http";
import { bodyBounds } from "../callers/callerBody";
import { type Configuration } from "../config";
import { watchConnections } from "../connections";
import { type Control } from "../control";
import { type Fleet } from "../fleet";
import { bearerKey, hashKey } from "../keys";
import { type Peers } from "../peers";
import { type Surroundings } from "../surroundings";
import { type Accepted, listTickets, readTicket, submitTicket } from "../tickets";
import { configInForce } from "./configInForce";
import { statusOf } from "./status";
import { answerTicketStatus } from "./ticketStatus";

export type OperatorDoor = { readonly port: number; readonly close: () => void };

type Parts = {
    readonly surroundings: Surroundings;
    readonly configuration: Feed<Configuration>;
    readonly applyAccepted: (acceptance: Accepted) => void;
    readonly fleet: Fleet;
    readonly control: Control;
    readonly peers: Peers;
    readonly isReady: () => boolean;
};

type Answer = { readonly status: number; readonly body: unknown };

type Handler = (request: IncomingMessage, path: string, parts: Parts) => Promise<Answer>;

const statusOfVerdict: Record<Verdict["kind"], number> = {
    accepted: 200,
    numberTaken: 409,
    overtaken: 409,
    tooOld: 409,
    unavailable: 503,
};

const handlers: Readonly<Record<string, Handler>> = {
    "GET /v1/status": async (unusedRequest, unusedPath, { surroundings, configuration, fleet, peers, control }) => ({
        status: 200,
        body: statusOf(surroundings, configuration.latest(), fleet.feed.latest(), peers.feed.latest(), {
            holdsLease: control.holdsLease(),
        }),
    }),
    "GET /v1/config": async (unusedRequest, unusedPath, { surroundings, configuration }) => ({
        status: 200,
        body: configInForce(surroundings, configuration.latest()),
    }),
    "GET /v1/tickets/N/status": async (unusedRequest, path, { surroundings, peers }) =>
        answerTicketStatus(surroundings.table, peers, Number(path.split("/")[3])),
    "GET /v1/tickets": async (unusedRequest, unusedPath, { surroundings }) => {
        const outcome = await listTickets(surroundings.table);
        return outcome.kind === "done" ? { status: 200, body: outcome.value } : platformDown();
    },
    "GET /v1/tickets/": async (unusedRequest, path, { surroundings }) => {
        const number = Number(path.split("/")[3]);
        const outcome = await readTicket(surroundings.table, number);
        if (outcome.kind !== "done") {
            return platformDown();
        }
        return outcome.value === undefined
            ? { status: 404, body: problem(`Ticket ${number} was never accepted.`) }
            : { status: 200, body: outcome.value };
    },
    "POST /v1/tickets": submit,
};

export async function startOperatorDoor(parts: Parts): Promise<OperatorDoor> {
    const server = await openListener(parts.surroundings.settings.listeners.operators, (request, response) => {
        serve(request, response, parts).catch(error => parts.surroundings.onBroken("operatorDoor", error));
    });
    const connections = watchConnections(server, "operators", parts.surroundings);
    return { port: portOf(server), close: connections.close };
}

async function serve(request: IncomingMessage, response: ServerResponse, parts: Parts): Promise<void> {
    const path = (request.url ?? "/").split("?")[0]!;
    const open = await openAnswer(path, parts);
    if (open !== undefined) {
        response.writeHead(open.status, { "content-type": "text/plain" });
        response.end(open.text);
        return;
    }
    const answer = await guarded(request, path, parts);
    response.writeHead(answer.status, { "content-type": "application/json" });
    response.end(JSON.stringify(answer.body));
}

async function openAnswer(
    path: string,
    { surroundings, isReady }: Parts,
): Promise<{ readonly status: number; readonly text: string } | undefined> {
    const answers: Readonly<Record<string, () => Promise<{ readonly status: number; readonly text: string }>>> = {
        "/metrics": async () => ({ status: 200, text: await surroundings.metrics.registry.metrics() }),
        "/healthz": async () => ({ status: 200, text: "ok\n" }),
        "/readyz": async () => isReady() ? { status: 200, text: "ok\n" } : { status: 503, text: "not ready\n" },
    };
    return answers[path]?.();
}

async function guarded(request: IncomingMessage, path: string, parts: Parts): Promise<Answer> {
    const key = bearerKey(request.headers.authorization);
    const operator = parts.surroundings.settings.operators.find(({ keySha256 }) =>
        key !== undefined && keySha256 === hashKey(key)
    );
    if (operator === undefined) {
        return { status: 401, body: problem("No operator has this key. Send it as 'Authorization: Bearer KEY'.") };
    }
    const handler = handlers[`${request.method} ${path}`]
        ?? handlers[`${request.method} ${path.replace(/\/\d+\/status$/, "/N/status")}`]
        ?? handlers[`${request.method} ${path.replace(/[^/]+$/, "")}`];
    return handler === undefined
        ? { status: 404, body: problem(`There is nothing at ${path}.`) }
        : handler(request, path, parts);
}

async function submit(
    request: IncomingMessage,
    unusedPath: string,
    { surroundings, applyAccepted }: Parts,
): Promise<Answer> {
    const { settings, timer, table, log } = surroundings;
    const body = await readBody(request, bodyBounds(settings), timer);
    const json = body.kind === "read" ? parseJson(body.bytes.toString("utf8")) : undefined;
    if (json === undefined) {
        return { status: 400, body: problem("The ticket is not valid JSON.") };
    }
    const checked = check(Ticket, json.value);
    if (checked.kind === "invalid") {
        return { status: 400, body: problem(renderFaults(checked.faults)) };
    }
    const verdict = await submitTicket(table, checked.value, applyAccepted);
    log.info("ticketJudged", { ...verdict, kind: undefined, verdict: verdict.kind });
    return { status: statusOfVerdict[verdict.kind], body: verdict };
}

function platformDown(): Answer {
    return { status: 503, body: problem("The platform's table does not answer. Try again.") };
}

function problem(message: string): { readonly error: { readonly message: string } } {
    return { error: { message } };
}
