/** A cluster inside one process, for the demo and for tests that need no separate processes. */
import { type Entry, startEntry } from "@rattanquay/entry";
import { type Log, silentLog } from "@rattanquay/telemetry";
import { systemTimer } from "@rattanquay/timer";
import { type EngineStandIn, startEngine } from "../engine";
import { type PlatformStandIn, startPlatform } from "../platform";
import { type ServiceStandIn, startService } from "../service";
import { submit, waitUntilServing } from "./clusterClient";
import { type ClusterSpec, engineLocations, entryNames, settingsFor, ticketFor } from "./clusterSpec";

export type EmbeddedCluster = {
    readonly platform: PlatformStandIn;
    readonly engines: Map<string, EngineStandIn>;
    readonly services: readonly ServiceStandIn[];
    readonly entries: readonly Entry[];
    readonly stop: () => Promise<void>;
};

const serveTimeoutMs = 20_000;

/** Starts the cluster, submits ticket 1 and waits until all replicas serve. */
export async function startEmbeddedCluster(spec: ClusterSpec, log: Log = silentLog): Promise<EmbeddedCluster> {
    const platform = await startPlatform({
        listLagMs: spec.listLagMs,
        weightBytesPerSecond: spec.weightBytesPerSecond,
    });
    const platformPort = platform.port;
    const started = await Promise.all(
        engineLocations(spec).map(location => startEngine({ ...spec.engine, ...location, platformPort })),
    );
    const engines = new Map(started.map(engine => [engine.instance, engine]));
    const services = await Promise.all(Array.from({ length: spec.services }, () => startService()));
    const entries = await Promise.all(
        entryNames(spec).map(({ id, availabilityZone }) =>
            startEntry({
                settings: settingsFor(spec, {
                    id,
                    availabilityZone,
                    platformPort,
                    ports: { callers: 0, operators: 0, peers: 0 },
                }),
                timer: systemTimer,
                log,
                random: Math.random,
                credentials: { accessKeyId: "lab", secretAccessKey: "lab" },
                onFatalError: (task, error) => {
                    throw new Error(`broken invariant in ${task}`, { cause: error });
                },
            })
        ),
    );
    entryNames(spec).forEach(({ id, availabilityZone }, index) =>
        platform.putEntry({
            process: id,
            availabilityZone,
            peerAddress: `127.0.0.1:${entries[index]!.peerPort}`,
            callerAddress: `127.0.0.1:${entries[index]!.callerPort}`,
        })
    );
    const operatorPorts = entries.map(entry => entry.operatorPort);
    await submit(
        operatorPorts[0]!,
        ticketFor(spec, { ticket: 1, servicePorts: services.map(service => service.port) }),
    );
    await waitUntilServing(operatorPorts, "assistant", spec.replicasPerZone, serveTimeoutMs);
    return {
        platform,
        engines,
        services,
        entries,
        stop: async () => {
            await Promise.all(entries.map(entry => entry.stop()));
            [...engines.values(), ...services, platform].forEach(standIn => standIn.kill());
        },
    };
}
