/** A cluster of separate processes on loopback. */
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { type Network } from "../link";
import { submit, waitUntilServing } from "./clusterClient";
import { type ClusterSpec, engineLocations, entryNames, ticketFor } from "./clusterSpec";
import { type EntryProcess, makeEntryStarter } from "./entryStarter";
import { type ClusterProcess, type Launcher, makeLauncher } from "./launcher";
import { waitUntil } from "./waitUntil";

export type ProcessCluster = {
    readonly folder: string;
    readonly platform: ClusterProcess;
    readonly engines: readonly ClusterProcess[];
    readonly services: ClusterProcess[];
    readonly entries: EntryProcess[];
    /** Restarts a service under its name and port. */
    readonly restartService: (name: string) => Promise<void>;
    /** Files in which engines and services record what they run; written only if the spec asks for journals. */
    readonly journals: () => readonly string[];
    /** Starts a further command of the lab program; it is killed with the cluster. */
    readonly startLab: (name: string, args: readonly string[]) => Promise<ClusterProcess>;
    /** Restarts an entry instance under its name and ports. */
    readonly restartEntry: (name: string) => Promise<void>;
    /** The links that can be cut, if the spec asks for them. */
    readonly network: Network | undefined;
    readonly stop: () => Promise<void>;
};

const serveTimeoutMs = 30_000;

/** Starts the cluster, submits ticket 1 and waits until every entry instance sees all replicas of its zone serve. */
export async function startProcessCluster(spec: ClusterSpec): Promise<ProcessCluster> {
    const launcher = makeLauncher();
    const { folder, startLab } = launcher;
    const standIns = makeStandInStarter(spec, launcher);
    const platform = await standIns.platform();
    const locations = engineLocations(spec);
    const engines = await Promise.all(locations.map(location => standIns.engine(location, platform.port)));
    const serviceNames = Array.from({ length: spec.services }, (unused, index) => `service-${index}`);
    const services = await Promise.all(serviceNames.map(name => standIns.service(name)));
    const entryStarter = await makeEntryStarter(spec, launcher, platform.port);
    const names = entryNames(spec);
    const entries = await Promise.all(
        names.map(({ id, availabilityZone }) => entryStarter.start(id, availabilityZone)),
    );
    await declareServices(spec, folder, services, entries);
    return {
        folder,
        platform,
        engines,
        services,
        entries,
        network: entryStarter.network,
        startLab: (name, args) => startLab(name, args, "/"),
        journals: () => [...engines, ...services].map(started => standIns.journalOf(started.name)),
        restartService: async name => {
            const index = services.findIndex(service => service.name === name);
            services[index] = await standIns.service(name, services[index]!.port);
        },
        restartEntry: async name => {
            const index = entries.findIndex(entry => entry.name === name);
            const { availabilityZone, ports } = entries[index]!;
            entries[index] = await entryStarter.start(name, availabilityZone, ports);
        },
        stop: async () => {
            launcher.killAll();
            entryStarter.network?.close();
        },
    };
}

function makeStandInStarter(spec: ClusterSpec, { folder, startLab }: Launcher) {
    const journalOf = (name: string): string => join(folder, `${name}.jsonl`);
    return {
        journalOf,
        platform: (): Promise<ClusterProcess> => {
            const rate = spec.weightBytesPerSecond;
            const rateArgs = rate === undefined ? [] : ["--weight-bytes-per-second", String(rate)];
            return startLab(
                "platform",
                ["platform", "--list-lag-ms", String(spec.listLagMs), ...rateArgs],
                "/instances",
            );
        },
        engine: (
            location: ReturnType<typeof engineLocations>[number],
            platformPort: number,
        ): Promise<ClusterProcess> => {
            const journal = spec.journals ? { journal: journalOf(location.instance) } : {};
            const options = { ...spec.engine, ...location, platformPort, ...journal };
            return startLab(location.instance, ["engine", "--options", JSON.stringify(options)], "/health");
        },
        service: (name: string, port?: number): Promise<ClusterProcess> => {
            const journalArgs = spec.journals ? ["--journal", journalOf(name)] : [];
            return startLab(name, ["service", "--name", name, ...journalArgs], "/lab/bookings", port);
        },
    };
}

async function declareServices(
    spec: ClusterSpec,
    folder: string,
    services: readonly ClusterProcess[],
    entries: readonly EntryProcess[],
): Promise<void> {
    const operatorPorts = entries.map(entry => entry.ports.operators);
    const ticket = ticketFor(spec, { ticket: 1, servicePorts: services.map(service => service.port) });
    writeFileSync(join(folder, "ticket-1.json"), JSON.stringify(ticket, undefined, 4));
    const isAccepted = async (): Promise<boolean> => (await submit(operatorPorts[0]!, ticket)).kind === "accepted";
    await waitUntil("ticket 1 to be accepted", serveTimeoutMs, isAccepted);
    await waitUntilServing(operatorPorts, "assistant", spec.replicasPerZone, serveTimeoutMs);
}
