/** A stand-in for an upstream on the users' platform: it records requests and answers with a configurable handler. */
import { sleep, systemTimer } from "@rattanquay/timer";
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import { type AddressInfo, type Socket } from "node:net";

/** One request that reached the upstream. */
export type ReceivedRequest = {
    readonly method: string;
    readonly target: string;
    readonly headers: IncomingMessage["headers"];
    readonly body: string;
    readonly atMs: number;
    /** When the connection closed, if that was before the answer was complete. */
    closedAtMs: number | undefined;
};

export type AnswerHandler = (request: IncomingMessage, response: ServerResponse, received: ReceivedRequest) => void;

export type UpstreamStandIn = {
    readonly id: string;
    readonly address: string;
    readonly arrivals: readonly ReceivedRequest[];
    readonly answerWith: (handler: AnswerHandler) => void;
    /** The entry with which the upstream registers itself in the store, with `extra` fields laid over it. */
    readonly entry: (extra?: Readonly<Record<string, unknown>>) => Readonly<Record<string, unknown>>;
    /** Resets all connections and refuses new ones for `downMs`, then starts again as a new incarnation. */
    readonly crash: (downMs: number) => Promise<void>;
    /** How often it has crashed. */
    readonly crashes: () => number;
    readonly close: () => void;
};

/** Above the bounds of configurations, as Node's usual one is not. */
const maxHeaderSize = 131_072;

/** Answers 200 with a valid seal. */
export const validAnswer: AnswerHandler = (request, response) => {
    response.writeHead(200, { ...sealHeaders(request), "content-type": "text/plain" });
    response.end("sound");
};

/** The headers that prove that an answer comes from the upstream itself: the attempt's id and the seal. */
export function sealHeaders(request: IncomingMessage): Record<string, string> {
    return { "attempt-id": String(request.headers["attempt-id"]), "response-seal": "seal" };
}

/** Streams events with the ids after `last-event-id` up to `to`, leaving out `skip`, and then calls `end`. */
export function makeStreamAnswer(to: number, end: (response: ServerResponse) => void, skip?: number): AnswerHandler {
    return (request, response) => {
        response.writeHead(200, { ...sealHeaders(request), "content-type": "text/event-stream" });
        const from = Number(request.headers["last-event-id"] ?? 0) + 1;
        for (let id = from; id <= to; id++) {
            if (id !== skip) {
                response.write(`id: ${id}\ndata: piece-${id}\n\n`);
            }
        }
        systemTimer.after(20, () => end(response));
    };
}

export async function startUpstreamStandIn(id: string, service: string): Promise<UpstreamStandIn> {
    const arrivals: ReceivedRequest[] = [];
    let answerHandler = validAnswer;
    let startedAtMs = systemTimer.wallClock().getTime();
    const sockets = new Set<Socket>();
    let crashes = 0;
    let isDown = false;
    let isClosed = false;
    const server = createServer({ maxHeaderSize }, (request, response) => {
        const chunks: Buffer[] = [];
        request.on("data", (chunk: Buffer) => chunks.push(chunk));
        request.on("end", () => {
            const { method = "", url: target = "", headers } = request;
            const body = Buffer.concat(chunks).toString();
            const received: ReceivedRequest = {
                method,
                target,
                headers,
                body,
                atMs: systemTimer.nowMs(),
                closedAtMs: undefined,
            };
            arrivals.push(received);
            response.on("close", () => {
                received.closedAtMs = response.writableFinished ? undefined : systemTimer.nowMs();
            });
            answerHandler(request, response, received);
        });
    });
    server.on("connection", socket => {
        sockets.add(socket);
        socket.on("close", () => sockets.delete(socket));
    });
    const listen = (port: number): Promise<void> => new Promise(resolve => server.listen(port, "127.0.0.1", resolve));
    await listen(0);
    const { port } = server.address() as AddressInfo;
    const address = `127.0.0.1:${port}`;
    return {
        id,
        address,
        arrivals,
        answerWith: next => {
            answerHandler = next;
        },
        entry: extra => ({
            service,
            address,
            zone: "zone-a",
            version: "v1",
            slots: 6,
            state: "ready",
            sequence: 1,
            cold_remaining_ms: 0,
            born: startedAtMs,
            ...extra,
        }),
        crash: async downMs => {
            if (isDown) {
                return;
            }
            isDown = true;
            crashes++;
            server.close();
            sockets.forEach(socket => socket.resetAndDestroy());
            await sleep(systemTimer, downMs);
            if (!isClosed) {
                await listen(port);
                startedAtMs = systemTimer.wallClock().getTime();
                isDown = false;
            }
        },
        crashes: () => crashes,
        close: () => {
            isClosed = true;
            server.close();
            server.closeAllConnections();
        },
    };
}
