/** Sends orders to engines. Delivery does not show that an order was carried out; only evidence does. */
import { type Order } from "@rattanquay/schema";

const orderTimeoutMs = 1_000;

/** Sends one order. Failures are ignored, since orders are resent until evidence shows that they were carried out. */
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
