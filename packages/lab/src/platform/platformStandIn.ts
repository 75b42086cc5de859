/** The platform as one HTTP server, with the faults that the platform is known for. */
import { type EntryPlace, type Instance } from "@rattanquay/schema";
import { sleep, systemTimer } from "@rattanquay/timer";
import { type IncomingMessage, type ServerResponse } from "node:http";
import { listen, readText, sendJson, type StandIn } from "../httpServer";
import { MemoryTable } from "./memoryTable";

/** What is wrong with the platform now. Shares are probabilities in [0, 1]. */
export type PlatformFault = {
    readonly down?: boolean;
    readonly slowMs?: number;
    /** Share of writes that take effect and are not answered. */
    readonly loseAnswers?: number;
};

export type PlatformOptions = {
    readonly port?: number;
    /** How late the instance list follows the truth. */
    readonly listLagMs?: number;
    /** What the weight store gives out, all instances together. */
    readonly weightBytesPerSecond?: number;
};

export type PlatformStandIn = StandIn & {
    readonly setFault: (fault: PlatformFault) => void;
    readonly putInstance: (instance: Instance) => void;
    readonly dropInstance: (instance: string) => void;
    readonly putEntry: (entry: EntryPlace) => void;
    readonly counts: () => { readonly reads: number; readonly writes: number; readonly conflicts: number };
};

const defaultListLagMs = 1_000;
const defaultWeightBytesPerSecond = 20_000_000_000;

export async function startPlatform(options: PlatformOptions = {}): Promise<PlatformStandIn> {
    const table = new MemoryTable();
    const instances = new Map<string, Instance>();
    const entries = new Map<string, EntryPlace>();
    const lagMs = options.listLagMs ?? defaultListLagMs;
    let published: { instances: readonly Instance[]; entries: readonly EntryPlace[] } = { instances: [], entries: [] };
    let fault: PlatformFault = {};
    let weightFreeAtMs = 0;

    const changed = (): void => {
        systemTimer.after(lagMs, () => {
            published = { instances: [...instances.values()], entries: [...entries.values()] };
        });
    };

    const serveTable = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
        const operation = String(request.headers["x-amz-target"]).split(".")[1] ?? "";
        const input = JSON.parse(await readText(request)) as never;
        await hamper();
        if (fault.down) {
            response.destroy();
            return;
        }
        const result = table.run(operation, input);
        if (operation === "TransactWriteItems" && Math.random() < (fault.loseAnswers ?? 0)) {
            response.destroy();
            return;
        }
        response.writeHead(result.kind === "done" ? 200 : 400, { "content-type": "application/x-amz-json-1.0" });
        response.end(
            JSON.stringify(
                result.kind === "done"
                    ? result.body
                    : { __type: `com.amazonaws.dynamodb.v20120810#${result.type}`, message: result.message },
            ),
        );
    };

    const hamper = async (): Promise<void> => {
        if (fault.slowMs !== undefined) {
            await sleep(systemTimer, fault.slowMs);
        }
    };

    /** Answers when the store has given out this many bytes to the caller. */
    const serveWeights = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
        const { bytes } = JSON.parse(await readText(request)) as { readonly bytes: number };
        const nowMs = systemTimer.nowMs();
        const durationMs = bytes / (options.weightBytesPerSecond ?? defaultWeightBytesPerSecond) * 1_000;
        weightFreeAtMs = Math.max(weightFreeAtMs, nowMs) + durationMs;
        await sleep(systemTimer, weightFreeAtMs - nowMs);
        sendJson(response, 200, {});
    };

    const routes: Readonly<Record<string, (request: IncomingMessage, response: ServerResponse) => Promise<void>>> = {
        "POST /": serveTable,
        "POST /weights": serveWeights,
        "GET /instances": async (unusedRequest, response) => {
            await hamper();
            if (fault.down) {
                response.destroy();
                return;
            }
            sendJson(response, 200, published);
        },
        "POST /lab/fault": async (request, response) => {
            fault = JSON.parse(await readText(request)) as PlatformFault;
            sendJson(response, 200, {});
        },
        "POST /lab/instances": async (request, response) => {
            const instance = JSON.parse(await readText(request)) as Instance;
            instances.set(instance.instance, instance);
            changed();
            sendJson(response, 200, {});
        },
        "POST /lab/entries": async (request, response) => {
            const entry = JSON.parse(await readText(request)) as EntryPlace;
            entries.set(entry.process, entry);
            changed();
            sendJson(response, 200, {});
        },
        "POST /lab/drop": async (request, response) => {
            const { instance } = JSON.parse(await readText(request)) as { readonly instance: string };
            instances.delete(instance);
            changed();
            sendJson(response, 200, {});
        },
        "GET /lab/counts": async (unusedRequest, response) => sendJson(response, 200, table.counts),
    };

    const { server, port } = await listen(options.port ?? 0, (request, response, path) => {
        const route = routes[`${request.method} ${path}`];
        return route === undefined ? sendJson(response, 404, {}) : route(request, response);
    });
    return {
        port,
        kill: () => {
            server.close();
            server.closeAllConnections();
        },
        setFault: next => {
            fault = next;
        },
        putInstance: instance => {
            instances.set(instance.instance, instance);
            changed();
        },
        dropInstance: instance => {
            instances.delete(instance);
            changed();
        },
        putEntry: entry => {
            entries.set(entry.process, entry);
            changed();
        },
        counts: () => table.counts,
    };
}
