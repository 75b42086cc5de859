/** What an engine instance is told to be part of: orders, loading, and the watch over the group's other members. */
import { type Order, type ServerInfo } from "@rattanquay/schema";
import { systemTimer } from "@rattanquay/timer";

type LoadOrder = Extract<Order, { readonly kind: "load" }>;
export type Assignment = LoadOrder & { status: ServerInfo["status"] };

export type AssignmentOptions = {
    readonly platformPort: number;
    readonly checksFence?: boolean;
    readonly weightBytes: number;
    readonly loadMs: number;
    /** How long a fellow member may take to answer before the group counts as broken. */
    readonly memberTimeoutMs?: number;
};

export type AssignmentHolder = {
    readonly current: () => Assignment | undefined;
    readonly cachedWeights: () => readonly string[];
    /** Takes an order; the highest fence taken, when that refuses it. */
    readonly take: (order: Order) => number | undefined;
    readonly stop: () => void;
};

const memberWatchMs = 100;
const defaultMemberTimeoutMs = 400;

/** `drop` ends the running work, whenever it can no longer be part of the assignment. */
export function holdAssignment(options: AssignmentOptions, drop: () => void): AssignmentHolder {
    const { memberTimeoutMs = defaultMemberTimeoutMs } = options;
    const cachedWeights = new Set<string>();
    let memberBoots = new Map<string, string>();
    let assignment: Assignment | undefined;
    let highestFence = 0;

    const load = async (order: LoadOrder): Promise<void> => {
        drop();
        memberBoots = new Map();
        const mine: Assignment = { ...order, status: "loading" };
        assignment = mine;
        const weights = `${order.model}@${order.version}`;
        if (!cachedWeights.has(weights)) {
            await fetchWeights(options);
            cachedWeights.add(weights);
        }
        systemTimer.after(options.loadMs, () => {
            mine.status = "ready";
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
                drop();
                assignment = undefined;
            }
        },
    };

    const watch = async (): Promise<void> => {
        const watched = assignment;
        if (
            watched?.status === "ready" && !await isIntact(watched, memberBoots, memberTimeoutMs)
            && assignment === watched
        ) {
            watched.status = "failed";
            drop();
        }
    };

    const stop = systemTimer.every(memberWatchMs, () => void watch());
    return {
        current: () => assignment,
        cachedWeights: () => [...cachedWeights],
        take: order => {
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

/** The group dies with any member that is gone, has restarted or serves another group. */
async function isIntact(watched: Assignment, boots: Map<string, string>, timeoutMs: number): Promise<boolean> {
    const accounts = await Promise.all(watched.members.map(address => accountOf(address, timeoutMs)));
    return accounts.every((account, index) => {
        const address = watched.members[index]!;
        const known = boots.get(address);
        if (account !== undefined) {
            boots.set(address, account.bootId);
        }
        return account !== undefined && account.group === watched.group
            && (known === undefined || known === account.bootId);
    });
}

async function accountOf(address: string, timeoutMs: number): Promise<ServerInfo | undefined> {
    try {
        const response = await fetch(`http://${address}/server_info`, { signal: AbortSignal.timeout(timeoutMs) });
        return await response.json() as ServerInfo;
    }
    catch {
        return undefined;
    }
}
