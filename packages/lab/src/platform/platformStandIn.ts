/** The platform as one HTTP server, with the kinds of fault that the real platform shows. */
import { EntryListing, Instance } from "@rattanquay/schema";
import { sleep, systemTimer } from "@rattanquay/timer";
import { type IncomingMessage, type ServerResponse } from "node:http";
import { listen, readText, sendJson, type StandIn } from "../httpServer";
import { type LaggingList, makeLaggingList } from "./laggingList";
import { MemoryTable } from "./memoryTable";
import { makeWeightStore, type WeightStore } from "./weightStore";

/** The platform's current faults. Shares are probabilities in [0, 1]. */
export type PlatformFault = {
    readonly down?: boolean;
    readonly slowMs?: number;
    /** The share of table writes that are processed but not answered. */
    readonly loseAnswers?: number;
};

export type PlatformOptions = {
    readonly port?: number;
    /** How long the instance list takes to show a change. */
    readonly listLagMs?: number;
    /** The throughput of the weight store, which all instances share. */
    readonly weightBytesPerSecond?: number;
    /** The size of the table's pages. */
    readonly pageBytes?: number;
};

export type PlatformStandIn =
    & StandIn
    & Pick<LaggingList, "putInstance" | "dropInstance" | "putEntry">
    & {
        readonly setFault: (fault: PlatformFault) => void;
        readonly counts: () => { readonly reads: number; readonly writes: number; readonly conflicts: number };
    };

type RouteContext = {
    readonly table: MemoryTable;
    readonly list: LaggingList;
    readonly weights: WeightStore;
    fault: PlatformFault;
};

type Route = (request: IncomingMessage, response: ServerResponse, context: RouteContext) => Promise<void>;

const defaultListLagMs = 1_000;
const defaultWeightBytesPerSecond = 20_000_000_000;

export async function startPlatform(options: PlatformOptions = {}): Promise<PlatformStandIn> {
    const list = makeLaggingList(options.listLagMs ?? defaultListLagMs);
    const weights = makeWeightStore(options.weightBytesPerSecond ?? defaultWeightBytesPerSecond);
    const context: RouteContext = { table: new MemoryTable(options.pageBytes), list, weights, fault: {} };
    const { server, port } = await listen(options.port ?? 0, (request, response, path) => {
        const route = routes[`${request.method} ${path}`];
        return route === undefined ? sendJson(response, 404, {}) : route(request, response, context);
    });
    return {
        ...list,
        port,
        kill: () => {
            server.close();
            server.closeAllConnections();
        },
        setFault: next => {
            context.fault = next;
        },
        counts: () => context.table.counts,
    };
}

const routes: Readonly<Record<string, Route>> = {
    "POST /": serveTable,
    "POST /weights": async (request, response, { weights }) => {
        const { bytes } = JSON.parse(await readText(request)) as { readonly bytes: number };
        await weights.read(bytes);
        sendJson(response, 200, {});
    },
    "GET /instances": async (unusedRequest, response, context) => {
        if (await isAvailable(context, response)) {
            sendJson(response, 200, context.list.published());
        }
    },
    "POST /lab/fault": async (request, response, context) => {
        context.fault = JSON.parse(await readText(request)) as PlatformFault;
        sendJson(response, 200, {});
    },
    "POST /lab/instances": async (request, response, { list }) => {
        list.putInstance(Instance.parse(JSON.parse(await readText(request))));
        sendJson(response, 200, {});
    },
    "POST /lab/entries": async (request, response, { list }) => {
        list.putEntry(EntryListing.parse(JSON.parse(await readText(request))));
        sendJson(response, 200, {});
    },
    "POST /lab/drop": async (request, response, { list }) => {
        const { instance } = JSON.parse(await readText(request)) as { readonly instance: string };
        list.dropInstance(instance);
        sendJson(response, 200, {});
    },
    "GET /lab/counts": async (unusedRequest, response, { table }) => sendJson(response, 200, table.counts),
};

async function serveTable(request: IncomingMessage, response: ServerResponse, context: RouteContext): Promise<void> {
    const operation = String(request.headers["x-amz-target"]).split(".")[1] ?? "";
    const input = JSON.parse(await readText(request)) as never;
    if (!await isAvailable(context, response)) {
        return;
    }
    const result = context.table.run(operation, input);
    if (operation === "TransactWriteItems" && Math.random() < (context.fault.loseAnswers ?? 0)) {
        response.destroy();
        return;
    }
    const failed = result.kind === "failed";
    response.writeHead(failed ? 400 : 200, { "content-type": "application/x-amz-json-1.0" });
    const body = failed
        ? { __type: `com.amazonaws.dynamodb.v20120810#${result.type}`, message: result.message }
        : result.body;
    response.end(JSON.stringify(body));
}

/** Waits for the injected latency and returns whether the platform is up; closes the connection if it is down. */
async function isAvailable(context: RouteContext, response: ServerResponse): Promise<boolean> {
    if (context.fault.slowMs !== undefined) {
        await sleep(systemTimer, context.fault.slowMs);
    }
    if (context.fault.down) {
        response.destroy();
        return false;
    }
    return true;
}
