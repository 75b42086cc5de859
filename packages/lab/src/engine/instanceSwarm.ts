/** Many instances in one process that take orders and answer probes but serve nothing, to measure the cost of control. */
import { type Instance, Order, type ServerInfo } from "@rattanquay/schema";
import { randomUUID } from "node:crypto";
import { listen, postControl, readText, sendJson, type StandIn } from "../httpServer";

export type InstanceSwarmOptions = {
    readonly availabilityZone: string;
    readonly instances: number;
    readonly instancesPerDomain: number;
    readonly platformPort: number;
};

type LoadOrder = Extract<Order, { readonly kind: "load" }>;

export async function startInstanceSwarm(options: InstanceSwarmOptions): Promise<readonly StandIn[]> {
    const indexes = Array.from({ length: options.instances }, (unused, index) => index);
    return Promise.all(indexes.map(index => startIdleInstance(options, index)));
}

async function startIdleInstance(options: InstanceSwarmOptions, index: number): Promise<StandIn> {
    const { availabilityZone, instancesPerDomain, platformPort } = options;
    const fabricDomain = `${availabilityZone}-d${Math.floor(index / instancesPerDomain)}`;
    const instance = `${fabricDomain}-i${index}`;
    const bootId = randomUUID();
    let assignment: LoadOrder | undefined;

    const info = (): ServerInfo => ({
        instance,
        bootId,
        status: assignment === undefined ? "idle" : "ready",
        group: assignment?.group,
        fence: assignment?.fence,
        model: assignment?.model,
        version: assignment?.version,
        adapter: assignment?.adapter,
        cachedWeights: [],
        load: { running: 0, waiting: 0, ageMs: 0 },
    });

    const { server, port } = await listen(0, async (request, response, path) => {
        if (request.method === "POST" && path === "/orders") {
            const order = Order.parse(JSON.parse(await readText(request)));
            assignment = order.kind === "load" ? order : undefined;
        }
        sendJson(response, 200, info());
    });
    const listed: Instance = { instance, address: `127.0.0.1:${port}`, availabilityZone, fabricDomain, state: "live" };
    await postControl(platformPort, "/lab/instances", listed);
    return {
        port,
        kill: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}
