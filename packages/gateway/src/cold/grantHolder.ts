/** Grants requests to cold upstreams while this process holds the planning lease, and logs what it granted. */
import { type ColdBound, coldLimit, type GrantResult, type HeldTerm, makeColdGrantLedger } from "@rattanquay/core";
import { type Cancel } from "@rattanquay/timer";
import { type ClusterState } from "../clusterState";
import { type GatewayContext } from "../gatewayContext";

export type GrantHolder = {
    readonly decide: (upstream: string, service: string) => GrantResult;
    readonly stop: Cancel;
};

const summaryEveryMs = 1_000;
const upstreamsPerLine = 40;

export function startGrantHolder(
    { timer, log }: GatewayContext,
    clusterState: ClusterState,
    bound: ColdBound,
    heldTerm: () => HeldTerm,
): GrantHolder {
    const ledger = makeColdGrantLedger();
    const limitOf = (service: string): number | undefined => {
        const cold = clusterState.routes()?.findService(service)?.cold;
        return cold === undefined ? undefined : coldLimit(cold, bound);
    };
    const stop = timer.every(summaryEveryMs, () => {
        const counts = ledger.takeCounts(timer.nowMs());
        for (let start = 0; start < counts.length; start += upstreamsPerLine) {
            log.info("coldGrants", { upstreams: counts.slice(start, start + upstreamsPerLine) });
        }
    });
    return {
        decide: (upstream, service) => ledger.decide(upstream, limitOf(service), heldTerm(), timer.nowMs()),
        stop,
    };
}
