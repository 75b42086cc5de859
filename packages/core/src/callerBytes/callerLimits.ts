/** The limits on what a process holds for its callers, derived from the resources of its machine. */

export type MachineResources = {
    /** What the process may use before it is ended. */
    readonly memoryBytes: number;
    readonly descriptors: number;
    /** What the program takes without callers; that of the gateway, if omitted. */
    readonly programBytes?: number;
};

export type CallerLimits = {
    /** All bytes that are held for callers: bodies, unread answers and an allowance for each connection. */
    readonly budgetBytes: number;
    /** The part of the budget that only requests of at most `smallBytes` may use. */
    readonly reservedBytes: number;
    readonly smallBytes: number;
    readonly connectionBytes: number;
    readonly maxConnections: number;
    /** Bodies that are arriving. */
    readonly maxBodies: number;
    /** Unanswered requests on one connection, and those behind another one over all connections. */
    readonly maxPipelinedOnConnection: number;
    readonly maxPipelined: number;
    /** Bytes of requests that are at one upstream at once; a single larger request is sent if it is the only one. */
    readonly upstreamBytes: number;
    /** How long a body may make no progress. */
    readonly bodyStallMs: number;
    /** How long a caller may take nothing of an answer that waits for it. */
    readonly unreadMs: number;
};

const megabyte = 1_048_576;
const kilobyte = 1_024;

/** The smallest machine on which the program is to run, and the usual limit of descriptors. */
const smallestMachine: MachineResources = { memoryBytes: 112 * megabyte, descriptors: 1_024 };
const gatewayBytes = 72 * megabyte;
/** The rest of the memory is for garbage that is not collected yet, the heap of requests and the kernel's buffers. */
const budgetShare = 0.4;
const reservedShare = 0.25;
const connectionsShare = 0.25;
const minBudgetBytes = 4 * megabyte;
const smallBytes = 64 * kilobyte;
/** A connection's parser, its largest head, and Node's buffers for what it reads and writes. */
const connectionBytes = 16 * kilobyte;
/** Descriptors for files. */
const fileDescriptors = 200;
/** Descriptors for the store, other processes and operators. */
const controlDescriptors = 100;
/** A connection of a caller takes its own descriptor and one at an upstream; pipelined requests and idle ones add to that. */
const descriptorsPerConnection = 2.5;
const minConnections = 16;
/** The least that an arriving body takes from the budget in the long run. */
const typicalBodyBytes = 16 * kilobyte;
const pipelinedShare = 0.25;
const maxPipelinedOnConnection = 16;
const upstreamBytes = 8 * megabyte;
/** As long as callers may leave a connection idle. Under pressure a body that stands still ends far sooner. */
const bodyStallMs = 15_000;
/** Less than upstreams wait for the reader of an answer, which is some seconds. */
const unreadMs = 5_000;

/** Without resources, the limits are those of the smallest machine. */
export function deriveCallerLimits(
    { memoryBytes, descriptors, programBytes = gatewayBytes }: MachineResources = smallestMachine,
): CallerLimits {
    const budgetBytes = Math.max(minBudgetBytes, Math.floor((memoryBytes - programBytes) * budgetShare));
    const byDescriptors = (descriptors - fileDescriptors - controlDescriptors) / descriptorsPerConnection;
    const byMemory = budgetBytes * connectionsShare / connectionBytes;
    const maxConnections = Math.max(minConnections, Math.floor(Math.min(byDescriptors, byMemory)));
    return {
        budgetBytes,
        reservedBytes: Math.floor(budgetBytes * reservedShare),
        smallBytes,
        connectionBytes,
        maxConnections,
        maxBodies: Math.min(maxConnections, Math.floor(budgetBytes / typicalBodyBytes)),
        maxPipelinedOnConnection,
        maxPipelined: Math.max(maxPipelinedOnConnection, Math.floor(maxConnections * pipelinedShare)),
        upstreamBytes,
        bodyStallMs,
        unreadMs,
    };
}

/** What does not fit together; `maxBodyBytes` is the largest body that the configuration allows. */
export function findLimitFaults(
    limits: CallerLimits,
    { memoryBytes, descriptors, programBytes = gatewayBytes }: MachineResources = smallestMachine,
    maxBodyBytes = 0,
): readonly string[] {
    const connectionDescriptors = Math.ceil(limits.maxConnections * descriptorsPerConnection);
    const largestBody = limits.budgetBytes - limits.reservedBytes - limits.connectionBytes;
    const checks: readonly (readonly [boolean, string])[] = [
        [programBytes + limits.budgetBytes <= memoryBytes, "the budget does not fit into the memory"],
        [
            fileDescriptors + controlDescriptors + connectionDescriptors <= descriptors,
            "the connections do not fit into the descriptors",
        ],
        [limits.maxConnections * limits.connectionBytes < limits.budgetBytes, "the connections use up the budget"],
        [maxBodyBytes <= largestBody, "the largest body does not fit into the budget"],
    ];
    return checks.flatMap(([holds, fault]) => holds ? [] : [fault]);
}
