/** The cluster that scenarios run on: one zone, three entry instances, and services behind links that can be cut. */
import { Ticket } from "@rattanquay/schema";
import {
    callOperatorApi,
    type ClusterSpec,
    defaultSpec,
    type ProcessCluster,
    startProcessCluster,
    submit,
    ticketFor,
    waitUntil,
} from "../cluster";
import { type Link, startLink } from "../link";

export type Testbed = {
    readonly cluster: ProcessCluster;
    /** One link in front of each service. */
    readonly links: readonly Link[];
    readonly stop: () => Promise<void>;
};

export const serviceTimeoutMs = 800;
type Status = { readonly config: { readonly highestTicket: number } };

const inForceTimeoutMs = 10_000;
const ticketNumber = 2;

const spec: ClusterSpec = {
    ...defaultSpec,
    zones: 1,
    entriesPerZone: 3,
    instancesPerDomain: 6,
    replicasPerZone: 2,
    services: 2,
    journals: true,
    settings: { limits: { upstreamIdleTimeoutMs: 600, connectTimeoutMs: 300, retryShare: 1 } },
};

export async function startTestbed(): Promise<Testbed> {
    const cluster = await startProcessCluster(spec);
    const links = await Promise.all(cluster.services.map(service => startLink(service.port)));
    const declared = ticketFor(spec, { ticket: ticketNumber, servicePorts: links.map(link => link.port) });
    const services = Object.entries(declared.services ?? {}).map(([name, service]) => [
        name,
        service?.kind === "plain" ? { ...service, timeoutMs: serviceTimeoutMs } : service,
    ]);
    await submit(
        cluster.entries[0]!.ports.operators,
        Ticket.parse({ ...declared, services: Object.fromEntries(services) }),
    );
    await waitUntil("the ticket to be in force", inForceTimeoutMs, async () => {
        const tickets = await Promise.all(
            cluster.entries.map(async ({ ports }) =>
                (await callOperatorApi(ports.operators, "/v1/status") as Status).config.highestTicket
            ),
        );
        return tickets.every(ticket => ticket >= ticketNumber);
    });
    return {
        cluster,
        links,
        stop: async () => {
            links.forEach(link => link.stop());
            await cluster.stop();
        },
    };
}
