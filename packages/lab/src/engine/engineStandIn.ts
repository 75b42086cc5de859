/** One engine instance: orders, its account of itself, chat completions, and faults on demand. */
import { ChatCall, headerNames, type Instance, Order, type ServerInfo } from "@rattanquay/schema";
import { systemTimer } from "@rattanquay/timer";
import { randomUUID } from "node:crypto";
import { type IncomingMessage, type ServerResponse } from "node:http";
import { appendExecution } from "../history";
import { listen, readText, sendJson, type StandIn } from "../httpServer";
import { Batch, type BatchOptions } from "./batch";
import { hashPrompt, tokenAt } from "./tokens";

export type EngineOptions = Partial<BatchOptions> & {
    readonly port?: number;
    readonly instance: string;
    readonly availabilityZone: string;
    readonly fabricDomain: string;
    readonly platformPort: number;
    /** Whether an order with an old fencing number is refused. */
    readonly checksFence?: boolean;
    readonly weightBytes?: number;
    readonly loadMs?: number;
    readonly loadReportLagMs?: number;
    /** The file that notes each run of a request before it begins. */
    readonly journal?: string;
};

/** One run of a request, for history checks. */
export type Execution = {
    readonly requestId: string;
    readonly attemptId: string;
    readonly group: string;
    readonly from: number;
    tokens: number;
    ended: boolean;
};

export type EngineStandIn = StandIn & {
    readonly instance: string;
    /** The group that it believes it belongs to. */
    readonly group: () => string | undefined;
    readonly executions: () => readonly Execution[];
    readonly setFault: (fault: EngineFault) => void;
};

export type EngineFault = { readonly slowFactor?: number; readonly cutStreams?: boolean; readonly mute?: boolean };

type LoadOrder = Extract<Order, { readonly kind: "load" }>;
type Assignment = LoadOrder & { status: ServerInfo["status"] };

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
const memberWatchMs = 100;
const memberTimeoutMs = 400;
const keptExecutions = 100_000;

export async function startEngine(options: EngineOptions): Promise<EngineStandIn> {
    const settings = { ...defaults, ...options };
    const bootId = randomUUID();
    const batch = new Batch(systemTimer, settings);
    const streams = new Map<string, ServerResponse>();
    const executions: Execution[] = [];
    const cachedWeights = new Set<string>();
    let memberBoots = new Map<string, string>();
    let assignment: Assignment | undefined;
    let highestFence = 0;
    let muted = false;
    let reported = { running: 0, waiting: 0, atMs: systemTimer.nowMs() };

    const dropStreams = (): void => {
        batch.stop();
        streams.forEach(response => response.destroy());
        streams.clear();
    };

    const load = async (order: LoadOrder): Promise<void> => {
        dropStreams();
        memberBoots = new Map();
        const mine: Assignment = { ...order, status: "loading" };
        assignment = mine;
        const weights = `${order.model}@${order.version}`;
        if (!cachedWeights.has(weights)) {
            const { weightBytes: bytes } = settings;
            await fetch(`http://127.0.0.1:${settings.platformPort}/weights`, {
                method: "POST",
                body: JSON.stringify({ bytes }),
            }).catch(() => undefined);
            cachedWeights.add(weights);
        }
        systemTimer.after(settings.loadMs, () => {
            mine.status = "ready";
        });
    };

    const orderHandlers: { readonly [K in Order["kind"]]: (order: Extract<Order, { readonly kind: K }>) => void } = {
        load: order => {
            if (assignment?.group !== order.group || assignment.fence !== order.fence) {
                void load(order);
            }
        },
        unload: order => {
            if (assignment?.group === order.group) {
                dropStreams();
                assignment = undefined;
            }
        },
    };

    const info = (): ServerInfo => ({
        instance: options.instance,
        bootId,
        status: assignment?.status ?? "idle",
        group: assignment?.group,
        fence: assignment?.fence,
        model: assignment?.model,
        version: assignment?.version,
        adapter: assignment?.adapter,
        cachedWeights: [...cachedWeights],
        load: { running: reported.running, waiting: reported.waiting, ageMs: systemTimer.nowMs() - reported.atMs },
    });

    const chat = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
        const call = ChatCall.parse(JSON.parse(await readText(request)));
        if (assignment?.status !== "ready" || assignment.rank !== 0 || call.model !== assignment.group) {
            sendJson(response, 404, {
                error: {
                    message: `model ${call.model} is not served here`,
                    type: "invalid_request_error",
                    code: "model_not_found",
                },
            });
            return;
        }
        startSequence(request, response, call, assignment.group);
    };

    const startSequence = (request: IncomingMessage, response: ServerResponse, call: ChatCall, group: string): void => {
        const id = randomUUID();
        const requestId = String(request.headers[headerNames.requestId]);
        const attemptId = String(request.headers[headerNames.attemptId]);
        const from = Number(request.headers[headerNames.resumeFrom] ?? 0);
        const length = Math.min(
            call.max_completion_tokens ?? call.max_tokens ?? 256,
            Number(call.lab_length ?? Infinity),
        );
        const hash = hashPrompt(call.messages);
        const promptTokens = Math.ceil(JSON.stringify(call.messages).length / 4);
        const execution: Execution = { requestId, attemptId, group, from, tokens: 0, ended: false };
        executions.push(execution);
        appendExecution(options.journal, {
            requestId,
            attemptId,
            call: call.messages.at(-1)!.content,
            upstream: options.instance,
        });
        executions.splice(0, executions.length - keptExecutions);
        streams.set(id, response);
        response.writeHead(200, { "content-type": "text/event-stream" });
        response.flushHeaders();
        const send = (delta: object, finishReason: string | null): void => {
            const choices = [{ index: 0, delta, finish_reason: finishReason }];
            response.write(
                `data: ${
                    JSON.stringify({ id: requestId, object: "chat.completion.chunk", model: call.model, choices })
                }\n\n`,
            );
        };
        batch.add({
            id,
            priority: Number(request.headers[headerNames.priority] ?? 0),
            promptTokens,
            prefix: hash.slice(0, 16),
            from,
            length: Math.max(length, from),
            onToken: index => {
                if (index < length) {
                    execution.tokens++;
                    send({ content: tokenAt(hash, index) }, null);
                }
            },
            onEnd: () => {
                execution.ended = true;
                send({}, "stop");
                response.end("data: [DONE]\n\n");
                streams.delete(id);
            },
        });
        response.on("close", () => {
            batch.cancel(id);
            streams.delete(id);
        });
    };

    const setFault = (fault: EngineFault): void => {
        batch.slowFactor = fault.slowFactor ?? batch.slowFactor;
        muted = fault.mute ?? muted;
        if (fault.cutStreams) {
            dropStreams();
        }
    };

    const routes: Readonly<
        Record<string, (request: IncomingMessage, response: ServerResponse) => void | Promise<void>>
    > = {
        "GET /server_info": (unusedRequest, response) => sendJson(response, 200, info()),
        "GET /health": (unusedRequest, response) => sendJson(response, assignment?.status === "failed" ? 503 : 200, {}),
        "POST /orders": async (request, response) => {
            const order = Order.parse(JSON.parse(await readText(request)));
            if (options.checksFence !== false && order.fence < highestFence) {
                sendJson(response, 409, { error: { message: `fence ${order.fence} is older than ${highestFence}` } });
                return;
            }
            highestFence = Math.max(highestFence, order.fence);
            (orderHandlers[order.kind] as (order: Order) => void)(order);
            sendJson(response, 202, {});
        },
        "POST /v1/chat/completions": chat,
        "GET /lab/load": (unusedRequest, response) => sendJson(response, 200, batch.load),
        "GET /lab/executions": (unusedRequest, response) => sendJson(response, 200, executions),
        "POST /lab/fault": async (request, response) => {
            setFault(JSON.parse(await readText(request)) as EngineFault);
            sendJson(response, 200, {});
        },
    };

    /** The group dies with any member that is gone, has restarted or serves another group. */
    const watchMembers = async (): Promise<void> => {
        const watched = assignment;
        if (watched?.status !== "ready") {
            return;
        }
        const accounts = await Promise.all(watched.members.map(address => accountOf(address)));
        const intact = accounts.every((account, index) => {
            const address = watched.members[index]!;
            const known = memberBoots.get(address);
            if (account !== undefined) {
                memberBoots.set(address, account.bootId);
            }
            return account !== undefined && account.group === watched.group
                && (known === undefined || known === account.bootId);
        });
        if (!intact && assignment === watched) {
            watched.status = "failed";
            dropStreams();
        }
    };

    const { server, port } = await listen(options.port ?? 0, (request, response, path) => {
        if (muted && !path.startsWith("/lab/")) {
            return;
        }
        const route = routes[`${request.method} ${path}`];
        return route === undefined ? sendJson(response, 404, {}) : route(request, response);
    });
    const cancels = [
        systemTimer.every(memberWatchMs, () => void watchMembers()),
        systemTimer.every(settings.loadReportLagMs, () => {
            reported = { ...batch.load, atMs: systemTimer.nowMs() };
        }),
    ];
    await register(options, port);
    return {
        port,
        instance: options.instance,
        group: () => assignment?.group,
        executions: () => executions,
        setFault,
        kill: () => {
            cancels.forEach(cancel => cancel());
            dropStreams();
            server.close();
            server.closeAllConnections();
        },
    };
}

async function accountOf(address: string): Promise<ServerInfo | undefined> {
    try {
        const response = await fetch(`http://${address}/server_info`, { signal: AbortSignal.timeout(memberTimeoutMs) });
        return await response.json() as ServerInfo;
    }
    catch {
        return undefined;
    }
}

/** Tells the platform stand-in that the instance is live, as the platform would know by itself. */
async function register(options: EngineOptions, port: number): Promise<void> {
    const { instance, availabilityZone, fabricDomain } = options;
    const listed: Instance = { instance, address: `127.0.0.1:${port}`, availabilityZone, fabricDomain, state: "live" };
    await fetch(`http://127.0.0.1:${options.platformPort}/lab/instances`, {
        method: "POST",
        body: JSON.stringify(listed),
    });
}
