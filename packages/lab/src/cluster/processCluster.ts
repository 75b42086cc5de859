/** A whole cluster of separate processes on loopback. */
import { type ChildProcess, spawn } from "node:child_process";
import { closeSync, mkdirSync, mkdtempSync, openSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { control } from "../httpServer";
import { makeNetwork, type Network } from "../link";
import { submit, untilServing } from "./clusterClient";
import {
    type Advertised,
    type ClusterSpec,
    enginePlaces,
    entryNames,
    type EntryPorts,
    settingsFor,
    ticketFor,
    zoneNames,
} from "./clusterSpec";
import { programsFolder } from "./programsFolder";
import { until } from "./until";

export type Member = { readonly name: string; readonly port: number; readonly child: ChildProcess };
export type EntryMember = Member & { readonly availabilityZone: string; readonly ports: EntryPorts };

export type ProcessCluster = {
    readonly folder: string;
    readonly platform: Member;
    readonly engines: readonly Member[];
    readonly services: Member[];
    readonly entries: EntryMember[];
    /** Starts a service again under its old name and port. */
    readonly restartService: (name: string) => Promise<void>;
    /** Files in which the engines and services note what they run, when the spec asks for them. */
    readonly journals: () => readonly string[];
    /** Starts a further lab program; it ends with the cluster. */
    readonly startLab: (name: string, args: readonly string[]) => Promise<Member>;
    /** Starts an entry instance again under its old name and ports. */
    readonly restartEntry: (name: string) => Promise<void>;
    /** The ways that can be cut, when the spec asks for them. */
    readonly network: Network | undefined;
    readonly stop: () => Promise<void>;
};

const startTimeoutMs = 20_000;
const maxSeeds = 6;
const serveTimeoutMs = 30_000;
const entryEnvironment = { AWS_ACCESS_KEY_ID: "lab", AWS_SECRET_ACCESS_KEY: "lab" };

const firstPort = 10_000;
const endPort = 32_768;
const given = new Set<number>();

/**
 * A port that was free a moment ago, below those that systems commonly give to outgoing connections: such a connection
 * could take the port before its program listens, or while that is being started again.
 */
async function freePort(): Promise<number> {
    for (;;) {
        const port = firstPort + Math.floor(Math.random() * (endPort - firstPort));
        if (!given.has(port) && await canListen(port)) {
            given.add(port);
            return port;
        }
    }
}

function canListen(port: number): Promise<boolean> {
    const server = createServer();
    return new Promise(resolve => {
        server.once("error", () => resolve(false));
        server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
    });
}

async function isUp(port: number, path: string): Promise<boolean> {
    try {
        const response = await fetch(`http://127.0.0.1:${port}${path}`, { signal: AbortSignal.timeout(1_000) });
        await response.text();
        return true;
    }
    catch {
        return false;
    }
}

export async function startProcessCluster(spec: ClusterSpec): Promise<ProcessCluster> {
    const folder = mkdtempSync(join(tmpdir(), "rattanquay-lab-"));
    mkdirSync(join(folder, "logs"));
    const children = new Set<ChildProcess>();
    const killAll = (): void => children.forEach(child => child.kill("SIGKILL"));
    process.once("exit", killAll);

    const run = (name: string, program: string, args: readonly string[]): ChildProcess => {
        const log = openSync(join(folder, "logs", `${name}.log`), "a");
        const child = spawn(process.execPath, [join(programsFolder(), program), ...args], {
            stdio: ["ignore", log, log],
            env: { ...process.env, ...entryEnvironment },
        });
        closeSync(log);
        children.add(child);
        child.once("exit", () => children.delete(child));
        return child;
    };

    const runLab = async (name: string, args: readonly string[], probe: string, at?: number): Promise<Member> => {
        const port = at ?? await freePort();
        const child = run(name, "rattanquay-lab.cjs", [...args, "--port", String(port)]);
        await until(`${name} to listen`, startTimeoutMs, () => isUp(port, probe));
        return { name, port, child };
    };

    const journalOf = (name: string): string => join(folder, `${name}.jsonl`);
    const platformArgs = ["platform", "--list-lag-ms", String(spec.listLagMs)];
    const rateArgs = spec.weightBytesPerSecond === undefined
        ? []
        : ["--weight-bytes-per-second", String(spec.weightBytesPerSecond)];
    const platform = await runLab("platform", [...platformArgs, ...rateArgs], "/instances");
    const engines = await Promise.all(
        enginePlaces(spec).map(place =>
            runLab(place.instance, [
                "engine",
                "--options",
                JSON.stringify({
                    ...spec.engine,
                    ...place,
                    platformPort: platform.port,
                    ...(spec.journals ? { journal: journalOf(place.instance) } : {}),
                }),
            ], "/health")
        ),
    );
    const runService = (name: string, at?: number): Promise<Member> => {
        const journalArgs = spec.journals ? ["--journal", journalOf(name)] : [];
        return runLab(name, ["service", "--name", name, ...journalArgs], "/lab/bookings", at);
    };
    const services = await Promise.all(
        Array.from(
            { length: spec.services },
            (unused, index) => runService(`service-${index}`),
        ),
    );

    const network = spec.cuttable ? makeNetwork(zoneNames) : undefined;
    const platformPorts = new Map(
        await Promise.all(
            zoneNames.map(async zone =>
                [zone as string, await network?.platformWay(zone, platform.port) ?? platform.port] as const
            ),
        ),
    );
    const waysTo = new Map<string, Advertised>();

    const advertise = async (id: string, zone: string, ports: EntryPorts): Promise<Advertised> => {
        const known = waysTo.get(id) ?? {
            address: network?.addressOf(zone) ?? "127.0.0.1",
            callers: await network?.wayTo(zone, ports.callers) ?? ports.callers,
            peers: await network?.wayTo(zone, ports.peers) ?? ports.peers,
        };
        waysTo.set(id, known);
        return known;
    };

    const startEntry = async (id: string, availabilityZone: string, ports: EntryPorts): Promise<EntryMember> => {
        const file = join(folder, `${id}.json`);
        const advertised = await advertise(id, availabilityZone, ports);
        const seeds = [...waysTo.values()].map(({ address, peers }) => `${address}:${peers}`).slice(0, maxSeeds);
        const platformPort = platformPorts.get(availabilityZone)!;
        const settings = settingsFor(spec, { id, availabilityZone, platformPort, ports, advertised, seeds });
        writeFileSync(file, JSON.stringify(settings, undefined, 4));
        const child = run(id, "rattanquay.cjs", ["serve", "--settings", file]);
        await until(`${id} to listen`, startTimeoutMs, () => isUp(ports.operators, "/healthz"));
        await control(platform.port, "/lab/entries", {
            process: id,
            availabilityZone,
            peerAddress: `${advertised.address}:${advertised.peers}`,
            callerAddress: `${advertised.address}:${advertised.callers}`,
        });
        return { name: id, port: ports.callers, child, availabilityZone, ports };
    };

    const entries = await Promise.all(
        entryNames(spec).map(async ({ id, availabilityZone }) =>
            startEntry(id, availabilityZone, {
                callers: await freePort(),
                operators: await freePort(),
                peers: await freePort(),
            })
        ),
    );
    const cluster: ProcessCluster = {
        folder,
        platform,
        engines,
        services,
        entries,
        network,
        startLab: (name, args) => runLab(name, args, "/"),
        journals: () => [...engines, ...services].map(member => journalOf(member.name)),
        restartService: async name => {
            const index = services.findIndex(service => service.name === name);
            services[index] = await runService(name, services[index]!.port);
        },
        restartEntry: async name => {
            const index = entries.findIndex(entry => entry.name === name);
            const { availabilityZone, ports } = entries[index]!;
            entries[index] = await startEntry(name, availabilityZone, ports);
        },
        stop: async () => {
            killAll();
            network?.close();
            process.off("exit", killAll);
        },
    };
    const operatorPorts = entries.map(entry => entry.ports.operators);
    const ticket = ticketFor(spec, { ticket: 1, servicePorts: services.map(service => service.port) });
    writeFileSync(join(folder, "ticket-1.json"), JSON.stringify(ticket, undefined, 4));
    await until(
        "ticket 1 to be accepted",
        serveTimeoutMs,
        async () => (await submit(operatorPorts[0]!, ticket)).kind === "accepted",
    );
    await untilServing(operatorPorts, "assistant", spec.replicasPerZone, serveTimeoutMs);
    return cluster;
}
