/** Calls the operator API of a cluster's entry instances. */
import { type Ticket, type Verdict } from "@rattanquay/schema";
import { operatorKey } from "./clusterSpec";
import { waitUntil } from "./waitUntil";

const callTimeoutMs = 15_000;

/** Calls the operator listener at `port`: GET without a body, POST with one. */
export async function callOperatorApi(port: number, path: string, body?: unknown): Promise<unknown> {
    const response = await fetch(`http://127.0.0.1:${port}${path}`, {
        method: body === undefined ? "GET" : "POST",
        headers: { authorization: `Bearer ${operatorKey}` },
        signal: AbortSignal.timeout(callTimeoutMs),
        ...(body === undefined ? {} : { body: JSON.stringify(body) }),
    });
    return response.json();
}

export async function submit(port: number, ticket: Ticket): Promise<Verdict> {
    return await callOperatorApi(port, "/v1/tickets", ticket) as Verdict;
}

type Status = {
    readonly services: readonly { readonly service: string; readonly declared: number; readonly serving: number }[];
};

/** How many replicas of a service one entry instance counts as serving. */
export async function countServingReplicas(port: number, service: string): Promise<number> {
    const status = await callOperatorApi(port, "/v1/status") as Status;
    return status.services.find(known => known.service === service)?.serving ?? 0;
}

/** Waits until every entry instance reports at least `count` serving replicas in its zone. */
export async function waitUntilServing(
    ports: readonly number[],
    service: string,
    count: number,
    timeoutMs: number,
): Promise<void> {
    await waitUntil(`${count} serving replicas of ${service}`, timeoutMs, async () => {
        const serving = await Promise.all(ports.map(port => countServingReplicas(port, service).catch(() => -1)));
        return serving.every(seen => seen >= count);
    });
}
