/** Serves requests over loopback with one upstream, and keeps the log lines and metrics of them. */
import {
    deriveCallerLimits,
    makeAdmissionHistory,
    makePredictionBiases,
    makeSharedRetryBudget,
    makeWorkspaceShares,
} from "@rattanquay/core";
import { makeCallerMemory } from "@rattanquay/peer";
import { type RequestKind, type ServingConfig, type ServingRoute } from "@rattanquay/schema";
import { type Log, silentLog } from "@rattanquay/telemetry";
import { sleep, systemTimer } from "@rattanquay/timer";
import { once } from "node:events";
import { createServer, type RequestListener, type Server } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { type ConfigurationCheck, makeClusterState } from "../../clusterState";
import { type ColdGate } from "../../cold";
import { makeLifetime } from "../../lifetime";
import { makeGatewayMetrics } from "../../metrics";
import { type AnswerHead, type CallerRequest, type RequestCodec } from "../../ports";
import { makeUpstreamRegistry } from "../../upstreams";
import { serveRequest } from "../admit";
import { type ExchangeDependencies } from "../exchangeDependencies";
import { openPlacementGuard } from "../placementGuard";
import { makeUpstreamBytes } from "../upstreamBytes";

export type LoggedLine = Readonly<Record<string, unknown>> & { readonly event: string };

export const validKey = "good-key-000000000000";
export const maxBodyBytes = 1_000;
/** A path whose headers for the upstream cannot be made. */
export const brokenPath = "/lookup/broken";
const host = "127.0.0.1";
const settleMs = 20;
const deadlineMs = 3_000;

const route = (name: string, kind: RequestKind, isPublic = false): ServingRoute => ({
    name,
    hostname: "calls.example",
    prefix: `/${name}/`,
    kind,
    timeoutMs: 1_500,
    objectiveMs: 400,
    priority: 1,
    targets: [{ service: "plain", weight: 1 }],
    maxAttempts: 1,
    isPublic,
    isResumable: false,
});

export const configuration: ServingConfig = {
    version: 5,
    routes: [route("lookup", "idempotent"), route("draft", "streaming"), route("open", "idempotent", true)],
    services: [{ service: "plain", healthPath: "/", maxConnections: 10 }],
    bounds: { maxHeaderBytes: 16_384, maxBodyBytes, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    workspaces: [{ workspace: "alpha", keys: [validKey] }],
};

const codec: RequestCodec = {
    readRequest: ({ headers }) =>
        ({
            requestId: String(headers["request-id"]),
            key: headers["api-key"],
            promptSegments: [],
        }) as unknown as CallerRequest,
    upstreamHeaders: ({ url, headers }) => {
        if (url === brokenPath) {
            throw new Error("planted by the test");
        }
        return ["host", "upstream", "request-id", String(headers["request-id"])];
    },
    readHead: ({ statusCode = 0, headers }) => ({
        kind: "head",
        head: {
            status: statusCode,
            requestId: headers["request-id"],
            isSealed: headers["seal"] !== undefined,
            isNotRun: false,
            isMisdirected: false,
            isLeaving: false,
            hasMarkedEnd: true,
            headers: [],
        } as unknown as AnswerHead,
    }),
    gatewayHeaders: () => [],
};

async function listen(listener: RequestListener): Promise<Server> {
    const server = createServer({ requireHostHeader: false }, listener).listen(0, host);
    await once(server, "listening");
    return server;
}

const portOf = (server: Server): number => (server.address() as AddressInfo).port;

export type ServedRequests = Awaited<ReturnType<typeof startServedRequests>>;

/** For tests of what follows once a request may be refused for good. */
const confirmedCheck: ConfigurationCheck = {
    isConfirmed: () => true,
    confirm: async () => undefined,
    confirmWithStore: async () => undefined,
};

/** Requests whose target is `/…?status=S&seal=1&bytes=B` get that answer of the upstream. */
export async function startServedRequests(configurationCheck = confirmedCheck) {
    const lines: LoggedLine[] = [];
    const record = (event: string, fields = {}): number => lines.push({ event, ...fields });
    const log: Log = { ...silentLog, info: record, warn: record, error: record };
    const metrics = makeGatewayMetrics();
    const clusterState = makeClusterState(log, metrics, () => true, systemTimer.nowMs);
    const registry = makeUpstreamRegistry(clusterState);
    const workspaceShares = makeWorkspaceShares();
    const callerMemory = makeCallerMemory(deriveCallerLimits(), systemTimer, {
        onEnd: () => undefined,
        onReport: () => undefined,
        onCheck: () => undefined,
    });
    /** The bodies that the upstream has received. */
    const bodies: string[] = [];
    const upstream = await listen((request, response) => {
        let body = "";
        request.on("data", bytes => body += bytes);
        request.on("end", () => bodies.push(body));
        const query = new URL(request.url ?? "/", "http://upstream").searchParams;
        const seal = query.has("seal") ? { seal: "1" } : {};
        const headers = { "request-id": String(request.headers["request-id"]), ...seal };
        response.writeHead(Number(query.get("status") ?? 200), headers);
        response.end("x".repeat(Number(query.get("bytes") ?? 5)));
    });
    const dependencies = {
        context: {
            timer: systemTimer,
            metrics,
            log,
            settings: { availabilityZone: "zone-a", bounds: {} },
            random: () => 0,
            ports: { requestCodec: codec },
        },
        clusterState,
        configurationCheck,
        registry,
        coldGate: { coldTestOf: () => undefined } as unknown as ColdGate,
        guard: openPlacementGuard,
        callerMemory,
        upstreamBytes: makeUpstreamBytes(1_000_000),
        lifetime: makeLifetime(),
        budget: makeSharedRetryBudget({ ratio: 0.2, extra: 10, windowMs: 10_000 }),
        instances: () => 8,
        stallWatch: { add: () => () => undefined },
        unreadableAnswers: { note: () => undefined },
        quarantine: {
            check: () => ({ kind: "clear" }),
            watch: () => ({ noteEnd: () => undefined, noteOutput: () => undefined }),
        },
        biases: makePredictionBiases(),
        admissions: makeAdmissionHistory(workspaceShares),
        workspaceShares,
    } as unknown as ExchangeDependencies;
    clusterState.applySnapshot(
        [{
            value: {
                id: "u-1",
                service: "plain",
                address: `${host}:${portOf(upstream)}`,
                availabilityZone: "zone-a",
                slots: 4,
                isDraining: false,
                bornAtMs: 1,
                loadedModels: [],
                stagedModels: [],
            },
            revision: 1,
        }],
        1,
        "store",
    );
    clusterState.evacuations.applySnapshot([], 1, "store");
    const entry = await listen((request, response) => {
        const connection = { openedAtMs: 0, requests: 1 } as unknown as Parameters<typeof serveRequest>[2];
        void serveRequest(request, response, connection, false, dependencies);
    });
    /** Sends requests as text over one connection, and resolves to all that came back once their lines are written. */
    const sendAll = async (text: string, requests: number): Promise<string> => {
        const before = endedLines().length;
        const socket = connect(portOf(entry), host);
        let received = "";
        socket.on("error", () => undefined);
        socket.on("data", bytes => received += bytes.toString("latin1"));
        socket.write(text, "latin1");
        const endsAtMs = systemTimer.nowMs() + deadlineMs;
        const isOver = (): boolean => endedLines().length >= before + requests && received !== "";
        while (!isOver() && systemTimer.nowMs() < endsAtMs) {
            await sleep(systemTimer, settleMs);
        }
        socket.destroy();
        return received;
    };
    /** Sends a request as text, and resolves to the status line once its `requestEnded` is written. */
    const send = async (text: string): Promise<string> => (await sendAll(text, 1)).split("\r\n", 1)[0]!;
    const endedLines = (): readonly LoggedLine[] => lines.filter(({ event }) => event === "requestEnded");
    return {
        clusterState,
        metrics,
        lines,
        endedLines,
        send,
        sendAll,
        port: portOf(entry),
        heldBytes: () => callerMemory.ledger.totalBytes(),
        bodies,
        stop: () => {
            entry.close();
            entry.closeAllConnections();
            upstream.close();
            upstream.closeAllConnections();
            registry.stop();
            callerMemory.stop();
        },
    };
}
