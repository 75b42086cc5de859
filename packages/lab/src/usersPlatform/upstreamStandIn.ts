/** A stand-in of an upstream on the users' platform: it keeps what reaches it, and answers as it is told, soundly or not. */
import { systemTimer } from "@rattanquay/timer";
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import { type AddressInfo } from "node:net";

export type Arrival = {
    readonly method: string;
    readonly target: string;
    readonly headers: IncomingMessage["headers"];
    readonly body: string;
    readonly atMs: number;
    /** When the connection closed before the answer was whole. */
    closedAtMs: number | undefined;
};

export type Answering = (request: IncomingMessage, response: ServerResponse, arrival: Arrival) => void;

export type UpstreamStandIn = {
    readonly id: string;
    readonly address: string;
    readonly arrivals: readonly Arrival[];
    readonly answerWith: (answering: Answering) => void;
    /** What the upstream writes about itself. */
    readonly entry: (extra?: Readonly<Record<string, unknown>>) => Readonly<Record<string, unknown>>;
    readonly close: () => void;
};

/** A sound answer with the request's id and a seal. */
export const soundAnswer: Answering = (request, response) => {
    response.writeHead(200, { ...sealFor(request), "content-type": "text/plain" });
    response.end("sound");
};

/** The headers by which an answer counts as the upstream's own. */
export function sealFor(request: IncomingMessage): Record<string, string> {
    return { "attempt-id": String(request.headers["attempt-id"]), "response-seal": "seal" };
}

/** Sends events with increasing ids, `from` to `to`, and then ends as it is told. */
export function streamAnswer(to: number, end: (response: ServerResponse) => void, skip?: number): Answering {
    return (request, response) => {
        response.writeHead(200, { ...sealFor(request), "content-type": "text/event-stream" });
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
    const arrivals: Arrival[] = [];
    let answering = soundAnswer;
    const bornAtMs = systemTimer.wallClock().getTime();
    const server = createServer((request, response) => {
        const chunks: Buffer[] = [];
        request.on("data", (chunk: Buffer) => chunks.push(chunk));
        request.on("end", () => {
            const { method = "", url: target = "", headers } = request;
            const body = Buffer.concat(chunks).toString();
            const arrival: Arrival = {
                method,
                target,
                headers,
                body,
                atMs: systemTimer.nowMs(),
                closedAtMs: undefined,
            };
            arrivals.push(arrival);
            response.on("close", () => {
                arrival.closedAtMs = response.writableFinished ? undefined : systemTimer.nowMs();
            });
            answering(request, response, arrival);
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    return {
        id,
        address,
        arrivals,
        answerWith: next => {
            answering = next;
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
            born: bornAtMs,
            ...extra,
        }),
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}
