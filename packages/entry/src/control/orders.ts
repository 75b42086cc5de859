/** Sends orders to engines. An order's arrival proves nothing: only evidence does. */
import { type GroupRow, type Order } from "@rattanquay/schema";

const orderTimeoutMs = 1_000;

/** Sends one order; a failure is ignored, since orders are sent again until the evidence shows them carried out. */
export async function sendOrder(address: string, order: Order): Promise<void> {
    try {
        await fetch(`http://${address}/orders`, {
            method: "POST",
            headers: { "content-type": "application/json" },
            body: JSON.stringify(order),
            signal: AbortSignal.timeout(orderTimeoutMs),
        });
    }
    catch {
        return;
    }
}

/** The order that makes the member of this rank take up the group's assignment. */
export function loadOrder(group: GroupRow, rank: number): Order {
    return {
        kind: "load",
        group: group.group,
        fence: group.fence,
        model: group.model,
        version: group.version,
        adapter: group.adapter,
        rank,
        members: group.members.map(member => member.address),
    };
}
