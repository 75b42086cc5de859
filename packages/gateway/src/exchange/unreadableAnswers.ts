/** Counts answers of upstreams that can't be read, and logs them at a bounded rate for each upstream. */
import { type GatewayContext } from "../gatewayContext";

export type UnreadableAnswers = {
    readonly note: (upstream: string, requestId: string | undefined, fault: string) => void;
};

/** Least time between two lines about one upstream. */
const logEveryMs = 1_000;
/** Maximum number of upstreams that are tracked; beyond it all counts are reset. */
const maxUpstreams = 2_000;
const maxFaultLength = 120;

export function makeUnreadableAnswers({ log, metrics, timer }: GatewayContext): UnreadableAnswers {
    const unlogged = new Map<string, { count: number; loggedAtMs: number }>();
    return {
        note: (upstream, requestId, fault) => {
            metrics.unreadableAnswers.inc();
            const nowMs = timer.nowMs();
            if (unlogged.size >= maxUpstreams && !unlogged.has(upstream)) {
                unlogged.clear();
            }
            const { count, loggedAtMs } = unlogged.get(upstream) ?? { count: 0, loggedAtMs: -Infinity };
            if (nowMs - loggedAtMs < logEveryMs) {
                unlogged.set(upstream, { count: count + 1, loggedAtMs });
                return;
            }
            unlogged.set(upstream, { count: 0, loggedAtMs: nowMs });
            log.warn("answerUnreadable", {
                upstream,
                requestId,
                fault: fault.slice(0, maxFaultLength),
                count: count + 1,
            });
        },
    };
}
