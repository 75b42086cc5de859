import { headerNames } from "@rattanquay/schema";
import { sleep, systemTimer } from "@rattanquay/timer";
import { type ServerResponse } from "node:http";
import { appendExecution, type Execution } from "../history";
import { listen, readText, sendJson, type StandIn } from "../httpServer";

/** One execution of a call, recorded for history checks. */
export type Booking = {
    readonly requestId: string;
    readonly attemptId: string;
    readonly path: string;
    readonly body: string;
    /** The `traceparent` header as received. */
    readonly traceparent: string | undefined;
};

export type ServiceFault = {
    readonly delayMs?: number;
    /** The point at which the next calls lose their connection. */
    readonly cut?: "never" | "beforeRun" | "afterRun" | "duringAnswer" | "afterAnswer";
    /** Whether the process kills itself with SIGKILL at that point, too. */
    readonly dies?: boolean;
};

export type ServiceStandIn = StandIn & {
    readonly bookings: () => readonly Booking[];
    readonly setFault: (fault: ServiceFault) => void;
};

type Options = { readonly port?: number; readonly name?: string; readonly journal?: string };

export async function startService(options: Options = {}): Promise<ServiceStandIn> {
    const bookings: Booking[] = [];
    let fault: ServiceFault = {};

    const runCall = async (booking: Booking, response: ServerResponse): Promise<void> => {
        const { cut, delayMs = 0, dies = false } = fault;
        const abortCall = (): void => {
            response.destroy();
            if (dies) {
                process.kill(process.pid, "SIGKILL");
            }
        };
        if (cut === "beforeRun") {
            abortCall();
            return;
        }
        bookings.push(booking);
        appendExecution(options.journal, executionOf(booking, options.name ?? "service"));
        const answer = JSON.stringify({ booked: bookings.length, call: callNameOf(booking.body), ...booking });
        await sleep(systemTimer, delayMs);
        if (cut === "afterRun") {
            abortCall();
            return;
        }
        response.writeHead(200, { "content-type": "application/json", "content-length": Buffer.byteLength(answer) });
        if (cut === "duringAnswer") {
            response.write(answer.slice(0, answer.length / 2), abortCall);
            return;
        }
        response.end(answer, cut === "afterAnswer" ? abortCall : undefined);
    };

    const { server, port } = await listen(options.port ?? 0, async (request, response, path) => {
        if (path === "/lab/bookings") {
            sendJson(response, 200, bookings);
            return;
        }
        const body = await readText(request);
        if (path === "/lab/fault") {
            fault = JSON.parse(body) as ServiceFault;
            sendJson(response, 200, {});
            return;
        }
        const requestId = String(request.headers[headerNames.requestId]);
        const attemptId = String(request.headers[headerNames.attemptId]);
        const { traceparent: header } = request.headers;
        const traceparent = typeof header === "string" ? header : undefined;
        await runCall({ requestId, attemptId, path, body, traceparent }, response);
    });
    return {
        port,
        bookings: () => bookings,
        setFault: nextFault => {
            fault = nextFault;
        },
        kill: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}

function executionOf({ requestId, attemptId, body }: Booking, upstream: string): Execution {
    return { requestId, attemptId, call: callNameOf(body), upstream };
}

/** Returns the `call` field of a JSON body, or the body itself if it has none or is not JSON. */
function callNameOf(body: string): string {
    try {
        return String((JSON.parse(body) as { readonly call?: unknown }).call ?? body);
    }
    catch {
        return body;
    }
}
