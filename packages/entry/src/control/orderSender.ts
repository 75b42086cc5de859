/** Sends orders to engines. An order's arrival proves nothing: only evidence does. */
import { type Order } from "@rattanquay/schema";

const orderTimeoutMs = 1_000;

/** Sends one order; a failure is ignored, since orders are sent again until the evidence shows them carried out. */
export async function sendOrder(address: string, order: Order): Promise<void> {
    try {
        const response = await fetch(`http://${address}/orders`, {
            method: "POST",
            headers: { "content-type": "application/json" },
            body: JSON.stringify(order),
            signal: AbortSignal.timeout(orderTimeoutMs),
        });
        await response.arrayBuffer();
    }
    catch {
        return;
    }
}
