/** The specification of a small cluster, with the settings and the ticket that follow from it. */
import { hashKey } from "@rattanquay/entry";
import { Settings, Ticket } from "@rattanquay/schema";
import { type z } from "zod";
import { type EngineOptions } from "../engine";

/** Keys of the stand-in cluster. They protect nothing and need not be secret. */
export const operatorKey = "lab-operator-key";
export const callerKey = "lab-workspace-key";
const peerSecret = "lab-peer-secret-0123456789";

export const zoneNames = ["zone-a", "zone-b", "zone-c"] as const;

export type ClusterSpec = {
    readonly zones: number;
    readonly entriesPerZone: number;
    readonly domainsPerZone: number;
    readonly instancesPerDomain: number;
    readonly replicasPerZone: number;
    readonly groupSize: number;
    readonly services: number;
    readonly concurrency: number;
    readonly engine: Partial<EngineOptions>;
    readonly listLagMs: number;
    /** Whether engines and services record on disk what they run, so that the runs of killed processes are known. */
    readonly journals?: boolean;
    readonly weightBytesPerSecond?: number;
    /** Settings that override the defaults of each entry instance. */
    readonly settings: Pick<Partial<z.input<typeof Settings>>, "policy" | "limits" | "intervals" | "traces" | "log"> & {
        readonly peers?: Partial<z.input<typeof Settings>["peers"]>;
    };
    /** Whether the connections between zones and to the platform can be cut. */
    readonly cuttable?: boolean;
};

export const defaultSpec: ClusterSpec = {
    zones: 2,
    entriesPerZone: 2,
    domainsPerZone: 1,
    instancesPerDomain: 4,
    replicasPerZone: 1,
    groupSize: 2,
    services: 1,
    concurrency: 16,
    engine: {},
    listLagMs: 300,
    settings: {},
};

export type EntryPorts = { readonly callers: number; readonly operators: number; readonly peers: number };

export type AdvertisedAddress = { readonly address: string; readonly callers: number; readonly peers: number };

type EntryParameters = {
    readonly id: string;
    readonly availabilityZone: string;
    readonly platformPort: number;
    readonly ports: EntryPorts;
    /** How others reach it through links that can be cut, when the spec asks for them. */
    readonly advertised?: AdvertisedAddress;
    readonly seeds?: readonly string[];
};

/** The settings of one entry instance. */
export function settingsFor(spec: ClusterSpec, parameters: EntryParameters): Settings {
    const { id, availabilityZone, platformPort, ports, advertised, seeds } = parameters;
    const listener = (port: number, advertisedPort?: number) => ({ host: "127.0.0.1", port, advertisedPort });
    const address = advertised?.address ?? "127.0.0.1";
    const { peers, ...rest } = spec.settings;
    return Settings.parse({
        process: { id, region: "lab", availabilityZone, address },
        listeners: {
            callers: listener(ports.callers, advertised?.callers),
            operators: listener(ports.operators),
            peers: listener(ports.peers, advertised?.peers),
        },
        platform: {
            tableEndpoint: `http://127.0.0.1:${platformPort}`,
            instancesEndpoint: `http://127.0.0.1:${platformPort}/instances`,
        },
        peers: { secret: peerSecret, seeds, dialFrom: advertised?.address, ...peers },
        operators: [{ name: "lab", keySha256: hashKey(operatorKey) }],
        ...rest,
        limits: { shutdownNoticeMs: 50, ...spec.settings.limits },
    });
}

type TicketParameters = {
    readonly ticket: number;
    readonly servicePorts: readonly number[];
    readonly version?: string;
};

/** A ticket that declares the cluster's services and its only workspace. */
export function ticketFor(spec: ClusterSpec, { ticket, servicePorts, version = "v1" }: TicketParameters): Ticket {
    const zones = zoneNames.slice(0, spec.zones);
    return Ticket.parse({
        ticket,
        author: "lab",
        reason: "the lab's services",
        services: {
            assistant: {
                kind: "model",
                model: "stand-in",
                version,
                replicas: Object.fromEntries(zones.map(zone => [zone, spec.replicasPerZone])),
                groupSize: spec.groupSize,
                concurrency: spec.concurrency,
            },
            bookings: {
                kind: "plain",
                upstreams: servicePorts.map((port, index) => ({
                    address: `127.0.0.1:${port}`,
                    availabilityZone: zones[index % zones.length],
                })),
            },
        },
        workspaces: { installers: { keySha256: [hashKey(callerKey)], services: ["assistant", "bookings"] } },
    });
}

/** The name, zone and fabric domain of each engine instance. */
export function engineLocations(
    spec: ClusterSpec,
): readonly { readonly instance: string; readonly availabilityZone: string; readonly fabricDomain: string }[] {
    return zoneNames.slice(0, spec.zones).flatMap(availabilityZone =>
        Array.from(
            { length: spec.domainsPerZone },
            (unusedDomain, domain) =>
                Array.from({ length: spec.instancesPerDomain }, (unusedInstance, index) => ({
                    instance: `${availabilityZone}-d${domain}-i${index}`,
                    availabilityZone,
                    fabricDomain: `${availabilityZone}-d${domain}`,
                })),
        ).flat()
    );
}

/** The id and zone of each entry instance. */
export function entryNames(spec: ClusterSpec): readonly { readonly id: string; readonly availabilityZone: string }[] {
    return zoneNames.slice(0, spec.zones).flatMap(availabilityZone =>
        Array.from(
            { length: spec.entriesPerZone },
            (unused, index) => ({ id: `entry-${availabilityZone}-${index}`, availabilityZone }),
        )
    );
}
