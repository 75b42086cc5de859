/** Holds bytes for callers of the chat interface within the memory that the settings name. */
import { type CallerLimits, deriveCallerLimits, findLimitFaults } from "@rattanquay/core";
import { type CallerMemory, makeCallerMemory } from "@rattanquay/peer";
import { type ProcessContext } from "../processContext";

/** What the program takes without callers, and the text of large bodies that were parsed and are not collected yet. */
const programBytes = 184_549_376;

export function startCallerMemory({ settings, timer, log, metrics }: ProcessContext): CallerMemory {
    const { memoryBytes, descriptors, maxBodyBytes, callerStallTimeoutMs } = settings.limits;
    const resources = { memoryBytes, descriptors, programBytes };
    const limits: CallerLimits = {
        ...deriveCallerLimits(resources),
        // The listener cuts these callers off itself, at the timeout; this is for those that it does not see.
        unreadMs: 2 * callerStallTimeoutMs,
    };
    const memory = makeCallerMemory(limits, timer, {
        onEnd: reason => metrics.callersEnded.inc({ reason }),
        onReport: ends => log.warn("callersEnded", ends),
        onCheck: () => {
            metrics.callerBytes.set(memory.ledger.totalBytes());
            metrics.callerBodies.set(memory.ledger.arrivingBodies());
            metrics.callerConnections.set(memory.ledger.openConnections());
        },
    });
    metrics.callerBytesLimit.set(limits.budgetBytes);
    const faults = findLimitFaults(limits, resources, maxBodyBytes);
    if (faults.length > 0) {
        log.warn("callerLimitsUnfit", { faults, maxBodyBytes, ...limits });
    }
    return memory;
}
