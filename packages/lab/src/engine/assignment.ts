/** The group that an engine instance is assigned to: orders, loading weights, and checks of the other members. */
import { type Order, type ServerInfo } from "@rattanquay/schema";
import { systemTimer } from "@rattanquay/timer";

type LoadOrder = Extract<Order, { readonly kind: "load" }>;
export type Assignment = LoadOrder & { status: ServerInfo["status"] };

export type AssignmentOptions = {
    readonly platformPort: number;
    readonly checksFence?: boolean;
    readonly weightBytes: number;
    readonly loadMs: number;
    /** How long another member of the group may take to answer before the group fails. */
    readonly memberTimeoutMs?: number;
};

export type AssignmentTracker = {
    readonly current: () => Assignment | undefined;
    readonly cachedWeights: () => readonly string[];
    /** Applies an order. An order with an old fence is refused, and the highest fence seen is returned. */
    readonly applyOrder: (order: Order) => number | undefined;
    readonly stop: () => void;
};

const memberCheckIntervalMs = 100;
const defaultMemberTimeoutMs = 400;

/** Calls `abortStreams` when a new load order, an unload order or a failed group ends the current assignment's work. */
export function makeAssignmentTracker(options: AssignmentOptions, abortStreams: () => void): AssignmentTracker {
    const { memberTimeoutMs = defaultMemberTimeoutMs } = options;
    const cachedWeights = new Set<string>();
    let memberBootIds = new Map<string, string>();
    let assignment: Assignment | undefined;
    let highestFence = 0;

    const load = async (order: LoadOrder): Promise<void> => {
        abortStreams();
        memberBootIds = new Map();
        const loading: Assignment = { ...order, status: "loading" };
        assignment = loading;
        const weights = `${order.model}@${order.version}`;
        if (!cachedWeights.has(weights)) {
            await fetchWeights(options);
            cachedWeights.add(weights);
        }
        systemTimer.after(options.loadMs, () => {
            loading.status = "ready";
        });
    };

    const handlers: { readonly [K in Order["kind"]]: (order: Extract<Order, { readonly kind: K }>) => void } = {
        load: order => {
            if (assignment?.group !== order.group || assignment.fence !== order.fence) {
                void load(order);
            }
        },
        unload: order => {
            if (assignment?.group === order.group) {
                abortStreams();
                assignment = undefined;
            }
        },
    };

    const checkMembers = async (): Promise<void> => {
        const watched = assignment;
        if (
            watched?.status === "ready" && !await isIntact(watched, memberBootIds, memberTimeoutMs)
            && assignment === watched
        ) {
            watched.status = "failed";
            abortStreams();
        }
    };

    const stop = systemTimer.every(memberCheckIntervalMs, () => void checkMembers());
    return {
        current: () => assignment,
        cachedWeights: () => [...cachedWeights],
        applyOrder: order => {
            if (options.checksFence !== false && order.fence < highestFence) {
                return highestFence;
            }
            highestFence = Math.max(highestFence, order.fence);
            (handlers[order.kind] as (order: Order) => void)(order);
            return undefined;
        },
        stop,
    };
}

async function fetchWeights({ platformPort, weightBytes: bytes }: AssignmentOptions): Promise<void> {
    await fetch(`http://127.0.0.1:${platformPort}/weights`, {
        method: "POST",
        body: JSON.stringify({ bytes }),
    }).catch(() => undefined);
}

/** Whether every member answers, has not restarted since it was first seen and belongs to the group. */
async function isIntact(watched: Assignment, bootIds: Map<string, string>, timeoutMs: number): Promise<boolean> {
    const infos = await Promise.all(watched.members.map(address => fetchServerInfo(address, timeoutMs)));
    return infos.every((info, index) => {
        const address = watched.members[index]!;
        const known = bootIds.get(address);
        if (info !== undefined) {
            bootIds.set(address, info.bootId);
        }
        return info !== undefined && info.group === watched.group
            && (known === undefined || known === info.bootId);
    });
}

async function fetchServerInfo(address: string, timeoutMs: number): Promise<ServerInfo | undefined> {
    try {
        const response = await fetch(`http://${address}/server_info`, { signal: AbortSignal.timeout(timeoutMs) });
        return await response.json() as ServerInfo;
    }
    catch {
        return undefined;
    }
}
