/** Starts the cluster's entry instances and, if the spec asks for it, the links between them and to the platform. */
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { postControl } from "../httpServer";
import { makeNetwork, type Network } from "../link";
import { type AdvertisedAddress, type ClusterSpec, type EntryPorts, settingsFor, zoneNames } from "./clusterSpec";
import { freePort } from "./freePort";
import { type ClusterProcess, type Launcher } from "./launcher";

export type EntryProcess = ClusterProcess & { readonly availabilityZone: string; readonly ports: EntryPorts };

export type EntryStarter = {
    /** The links that can be cut, if the spec asks for them. */
    readonly network: Network | undefined;
    /** Starts an entry instance, on free ports unless `ports` are given. */
    readonly start: (id: string, availabilityZone: string, ports?: EntryPorts) => Promise<EntryProcess>;
};

const maxSeeds = 6;

export async function makeEntryStarter(
    spec: ClusterSpec,
    launcher: Launcher,
    platformPort: number,
): Promise<EntryStarter> {
    const network = spec.cuttable ? makeNetwork(zoneNames) : undefined;
    const platformPorts = new Map<string, number>();
    for (const zone of zoneNames) {
        platformPorts.set(zone, await network?.openLinkToPlatform(zone, platformPort) ?? platformPort);
    }
    const advertisedById = new Map<string, AdvertisedAddress>();

    const advertise = async (id: string, zone: string, ports: EntryPorts): Promise<AdvertisedAddress> => {
        const known = advertisedById.get(id) ?? {
            address: network?.addressOf(zone) ?? "127.0.0.1",
            callers: await network?.openLinkTo(zone, ports.callers) ?? ports.callers,
            peers: await network?.openLinkTo(zone, ports.peers) ?? ports.peers,
        };
        advertisedById.set(id, known);
        return known;
    };

    const writeSettings = (
        id: string,
        availabilityZone: string,
        ports: EntryPorts,
        advertised: AdvertisedAddress,
    ): string => {
        const file = join(launcher.folder, `${id}.json`);
        const seeds = [...advertisedById.values()].map(({ address, peers }) => `${address}:${peers}`).slice(
            0,
            maxSeeds,
        );
        const zonePlatformPort = platformPorts.get(availabilityZone)!;
        const settings = settingsFor(spec, {
            id,
            availabilityZone,
            platformPort: zonePlatformPort,
            ports,
            advertised,
            seeds,
        });
        writeFileSync(file, JSON.stringify(settings, undefined, 4));
        return file;
    };

    return {
        network,
        start: async (id, availabilityZone, fixedPorts) => {
            const ports = fixedPorts ?? await freePorts();
            const advertised = await advertise(id, availabilityZone, ports);
            const child = await launcher.start({
                name: id,
                program: "rattanquay.cjs",
                args: ["serve", "--settings", writeSettings(id, availabilityZone, ports, advertised)],
                probePort: ports.operators,
                probePath: "/healthz",
            });
            await postControl(platformPort, "/lab/entries", {
                process: id,
                availabilityZone,
                peerAddress: `${advertised.address}:${advertised.peers}`,
                callerAddress: `${advertised.address}:${advertised.callers}`,
            });
            return { name: id, port: ports.callers, child, availabilityZone, ports };
        },
    };
}

async function freePorts(): Promise<EntryPorts> {
    return { callers: await freePort(), operators: await freePort(), peers: await freePort() };
}
