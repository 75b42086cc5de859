import { headerNames } from "@rattanquay/schema";
import { sleep, systemTimer } from "@rattanquay/timer";
import { listen, readText, sendJson, type StandIn } from "../httpServer";

/** One run of a call, for history checks. */
export type Booking = {
    readonly requestId: string;
    readonly attemptId: string;
    readonly path: string;
    readonly body: string;
    /** The trace that the call belongs to, as it arrived. */
    readonly traceparent: string | undefined;
};

export type ServiceFault = {
    readonly delayMs?: number;
    /** Where the next calls are cut: before they run, or after they ran and before the answer. */
    readonly cut?: "never" | "beforeRun" | "afterRun";
};

export type ServiceStandIn = StandIn & {
    readonly bookings: () => readonly Booking[];
    readonly setFault: (fault: ServiceFault) => void;
};

export async function startService(options: { readonly port?: number } = {}): Promise<ServiceStandIn> {
    const bookings: Booking[] = [];
    let fault: ServiceFault = {};
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
        if (fault.cut === "beforeRun") {
            response.destroy();
            return;
        }
        const requestId = String(request.headers[headerNames.requestId]);
        const attemptId = String(request.headers[headerNames.attemptId]);
        const { traceparent } = request.headers;
        bookings.push({
            requestId,
            attemptId,
            path,
            body,
            traceparent: typeof traceparent === "string" ? traceparent : undefined,
        });
        await sleep(systemTimer, fault.delayMs ?? 0);
        if (fault.cut === "afterRun") {
            response.destroy();
            return;
        }
        sendJson(response, 200, { booked: bookings.length, path, requestId });
    });
    return {
        port,
        bookings: () => bookings,
        setFault: next => {
            fault = next;
        },
        kill: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}
