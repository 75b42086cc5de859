/** Sends the orders of the planner. One to leave a group that gets no answer here is also tried through peers. */
import { type AddressedEngineOrder, type GroupPlanner } from "@rattanquay/core";
import { type EngineOrder, type UpstreamRecord } from "@rattanquay/schema";
import { type GatewayContext } from "../gatewayContext";
import { type PassedOrder } from "../peers";

export type OrderSenderOptions = {
    readonly planner: Pick<GroupPlanner, "noteOrderOutcome">;
    /** Whether no answer is expected: the peers then try at the same time, as their silence is waited for, too. */
    readonly isSilent: (upstream: UpstreamRecord) => boolean;
    /** Asks peers to send an order. */
    readonly passOrder: (upstream: UpstreamRecord, order: EngineOrder) => Promise<PassedOrder>;
};

const orderTimeoutMs = 500;

/** The returned function resolves when the outcome is known and the planner has it. */
export function makeOrderSender(
    { ports: { engines }, timer, log, metrics }: Pick<GatewayContext, "ports" | "timer" | "log" | "metrics">,
    { planner, isSilent, passOrder }: OrderSenderOptions,
): (addressed: AddressedEngineOrder) => Promise<void> {
    return async addressed => {
        const { upstream, order } = addressed;
        const pass = (): Promise<PassedOrder> => passOrder(upstream, order);
        const [{ result, detail }, passedAtOnce] = await Promise.all([
            engines.order(upstream, order, orderTimeoutMs),
            order.kind === "leave" && isSilent(upstream) ? pass() : undefined,
        ]);
        metrics.orders.inc({ order: order.kind, result });
        const about = order.kind === "stage" ? { model: order.model } : { group: order.group };
        log.info("orderSent", { upstream: upstream.id, order: order.kind, ...about, result, detail });
        if (result !== "unanswered" || order.kind !== "leave") {
            planner.noteOrderOutcome(addressed, { result, witnesses: 0 }, timer.nowMs());
            return;
        }
        const passed = passedAtOnce ?? await pass();
        log.info("orderPassedOn", { upstream: upstream.id, order: order.kind, ...about, ...passed });
        planner.noteOrderOutcome(addressed, passed, timer.nowMs());
    };
}
