/** Holds bytes for callers within the machine's memory: derives the limits, checks them, and reports what they end. */
import { deriveCallerLimits, findLimitFaults } from "@rattanquay/core";
import { type CallerMemory, makeCallerMemory } from "@rattanquay/peer";
import { type ClusterState } from "./clusterState";
import { type GatewayContext } from "./gatewayContext";

/** How often the largest body of the configuration in force is checked against the limits. */
const checkEveryMs = 1_000;

export function startCallerMemory(clusterState: ClusterState, context: GatewayContext): CallerMemory {
    const { settings: { resources }, timer, log, metrics } = context;
    const limits = deriveCallerLimits(resources);
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
    let checkedBodyBytes: number | undefined;
    const checkLimits = (maxBodyBytes: number): void => {
        if (maxBodyBytes === checkedBodyBytes) {
            return;
        }
        checkedBodyBytes = maxBodyBytes;
        const faults = findLimitFaults(limits, resources, maxBodyBytes);
        if (faults.length > 0) {
            log.warn("callerLimitsUnfit", { faults, maxBodyBytes, ...limits });
        }
    };
    checkLimits(0);
    const cancel = timer.every(
        checkEveryMs,
        () => checkLimits(clusterState.configuration()?.bounds.maxBodyBytes ?? checkedBodyBytes ?? 0),
    );
    return {
        ...memory,
        stop: () => {
            cancel();
            memory.stop();
        },
    };
}
