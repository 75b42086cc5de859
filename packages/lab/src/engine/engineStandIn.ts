/** A stand-in engine instance: orders, server info, chat completions, and faults on demand. */
import { ChatCall, type Instance, Order, type ServerInfo } from "@rattanquay/schema";
import { systemTimer } from "@rattanquay/timer";
import { randomUUID } from "node:crypto";
import { type IncomingMessage, type ServerResponse } from "node:http";
import { listen, readText, sendJson, type StandIn } from "../httpServer";
import { type AssignmentTracker, makeAssignmentTracker } from "./assignment";
import { Batch, type BatchOptions } from "./batch";
import { type Completions, type Execution, makeCompletions } from "./completions";

export type EngineOptions = Partial<BatchOptions> & {
    readonly port?: number;
    readonly instance: string;
    readonly availabilityZone: string;
    readonly fabricDomain: string;
    readonly platformPort: number;
    /** Whether orders with an old fencing number are refused. Defaults to true. */
    readonly checksFence?: boolean;
    readonly weightBytes?: number;
    readonly loadMs?: number;
    readonly loadReportLagMs?: number;
    /** How long another member of the group may take to answer before the group fails. */
    readonly memberTimeoutMs?: number;
    /** A file to which each run of a request is appended before it begins. */
    readonly journal?: string;
};

export type EngineStandIn = StandIn & {
    readonly instance: string;
    /** The group of its current assignment. */
    readonly group: () => string | undefined;
    readonly executions: () => readonly Execution[];
    readonly setFault: (fault: EngineFault) => void;
};

export type EngineFault = { readonly slowFactor?: number; readonly cutStreams?: boolean; readonly mute?: boolean };

type Route = (request: IncomingMessage, response: ServerResponse) => void | Promise<void>;

/** State that the routes of one instance share. */
type RouteContext = {
    readonly info: () => ServerInfo;
    readonly assignment: AssignmentTracker;
    readonly completions: Completions;
    readonly load: () => Batch["load"];
    readonly setFault: (fault: EngineFault) => void;
};

const defaults = {
    maxRunning: 16,
    stepBaseMs: 8,
    stepPerSequenceMs: 0.5,
    prefillTokensPerMs: 20,
    cachedPrefixes: 64,
    weightBytes: 1_000_000_000,
    loadMs: 200,
    loadReportLagMs: 250,
} as const;

export async function startEngine(options: EngineOptions): Promise<EngineStandIn> {
    const settings = { ...defaults, ...options };
    const batch = new Batch(systemTimer, settings);
    const completions = makeCompletions(batch, options);
    const assignment = makeAssignmentTracker(settings, completions.abortStreams);
    let muted = false;
    let reported = { running: 0, waiting: 0, atMs: systemTimer.nowMs() };

    const setFault = (fault: EngineFault): void => {
        batch.slowFactor = fault.slowFactor ?? batch.slowFactor;
        muted = fault.mute ?? muted;
        if (fault.cutStreams) {
            completions.abortStreams();
        }
    };
    const bootId = randomUUID();
    const info = (): ServerInfo => {
        const { running, waiting, atMs } = reported;
        const load = { running, waiting, ageMs: systemTimer.nowMs() - atMs };
        return makeServerInfo(options.instance, bootId, assignment, load);
    };
    const routes = makeRoutes({ info, assignment, completions, load: () => batch.load, setFault });
    const { server, port } = await listen(options.port ?? 0, (request, response, path) => {
        if (muted && !path.startsWith("/lab/")) {
            return;
        }
        const route = routes[`${request.method} ${path}`];
        return route === undefined ? sendJson(response, 404, {}) : route(request, response);
    });
    const stopReports = systemTimer.every(settings.loadReportLagMs, () => {
        reported = { ...batch.load, atMs: systemTimer.nowMs() };
    });
    await register(options, port);
    return {
        port,
        instance: options.instance,
        group: () => assignment.current()?.group,
        executions: completions.executions,
        setFault,
        kill: () => {
            stopReports();
            assignment.stop();
            completions.abortStreams();
            server.close();
            server.closeAllConnections();
        },
    };
}

function makeServerInfo(
    instance: string,
    bootId: string,
    tracker: AssignmentTracker,
    load: ServerInfo["load"],
): ServerInfo {
    const assignment = tracker.current();
    return {
        instance,
        bootId,
        status: assignment?.status ?? "idle",
        group: assignment?.group,
        fence: assignment?.fence,
        model: assignment?.model,
        version: assignment?.version,
        adapter: assignment?.adapter,
        cachedWeights: [...tracker.cachedWeights()],
        load,
    };
}

function makeRoutes({ info, assignment, completions, load, setFault }: RouteContext): Readonly<Record<string, Route>> {
    return {
        "GET /server_info": (unusedRequest, response) => sendJson(response, 200, info()),
        "GET /health": (unusedRequest, response) =>
            sendJson(response, assignment.current()?.status === "failed" ? 503 : 200, {}),
        "POST /orders": async (request, response) => {
            const order = Order.parse(JSON.parse(await readText(request)));
            const highestFence = assignment.applyOrder(order);
            if (highestFence === undefined) {
                sendJson(response, 202, {});
                return;
            }
            sendJson(response, 409, { error: { message: `fence ${order.fence} is older than ${highestFence}` } });
        },
        "POST /v1/chat/completions": async (request, response) => {
            const call = ChatCall.parse(JSON.parse(await readText(request)));
            const current = assignment.current();
            if (current?.status !== "ready" || current.rank !== 0 || call.model !== current.group) {
                sendModelNotFound(response, call.model);
                return;
            }
            completions.start(request, response, call, current.group);
        },
        "GET /lab/load": (unusedRequest, response) => sendJson(response, 200, load()),
        "GET /lab/executions": (unusedRequest, response) => sendJson(response, 200, completions.executions()),
        "POST /lab/fault": async (request, response) => {
            setFault(JSON.parse(await readText(request)) as EngineFault);
            sendJson(response, 200, {});
        },
    };
}

function sendModelNotFound(response: ServerResponse, model: string): void {
    const message = `model ${model} is not served here`;
    sendJson(response, 404, { error: { message, type: "invalid_request_error", code: "model_not_found" } });
}

/** Adds the instance to the platform stand-in's list as live. The real platform knows its instances by itself. */
async function register(options: EngineOptions, port: number): Promise<void> {
    const { instance, availabilityZone, fabricDomain } = options;
    const listed: Instance = { instance, address: `127.0.0.1:${port}`, availabilityZone, fabricDomain, state: "live" };
    await fetch(`http://127.0.0.1:${options.platformPort}/lab/instances`, {
        method: "POST",
        body: JSON.stringify(listed),
    });
}
