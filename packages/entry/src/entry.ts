/** Wires the tasks of an entry instance together, and ends them in order. */
import { makeDynamoTable, makeInstanceSource } from "@rattanquay/platform";
import { type Settings } from "@rattanquay/schema";
import { type Log, makeMetrics, makeTracing } from "@rattanquay/telemetry";
import { sleep, type Timer } from "@rattanquay/timer";
import makeXxhash from "xxhash-wasm";
import { startCallerDoor } from "./callers";
import { startConfig } from "./config";
import { startControl } from "./control";
import { startDispatch } from "./dispatch";
import { startFleet } from "./fleet";
import { startOperatorDoor } from "./operators";
import { type Peers, startPeers } from "./peers";
import { type Surroundings } from "./surroundings";

export type EntryOptions = {
    readonly settings: Settings;
    readonly timer: Timer;
    readonly log: Log;
    /** Numbers in [0, 1). */
    readonly random: () => number;
    /** Credentials for the table; the platform's usual environment variables are read when absent. */
    readonly credentials?: { readonly accessKeyId: string; readonly secretAccessKey: string };
    /** Called when an invariant is broken; expected to end the process. */
    readonly onBroken: (task: string, error: unknown) => void;
};

export type Entry = {
    readonly callerPort: number;
    readonly operatorPort: number;
    readonly peerPort: number;
    /** Bytes and messages over peer links since the start. */
    readonly peerTraffic: Peers["traffic"];
    readonly isReady: () => boolean;
    /** Ends gracefully: leaves the balancer, lets running requests finish, then stops. */
    readonly stop: () => Promise<void>;
};

/** Starts an entry instance; rejects when a listener cannot be opened. */
export async function startEntry(options: EntryOptions): Promise<Entry> {
    const surroundings = makeSurroundings(options);
    const { settings, timer, log } = surroundings;
    const { h32 } = await makeXxhash();
    const hash = (text: string): number => h32(text);
    let leaving = false;
    let peers: Peers | undefined = undefined;
    const config = startConfig(surroundings);
    const fleet = startFleet(surroundings, hash);
    config.feed.subscribe(({ snapshot }) => fleet.setSnapshot(snapshot));
    const dispatch = startDispatch(surroundings, config.feed, fleet);
    const control = startControl(surroundings, config.feed, fleet);
    const isReady = (): boolean => !leaving && peers?.feed.latest().caughtUp === true;
    const spillTarget = (service: string): string | undefined => peers?.spillTarget(service);
    const callers = await startCallerDoor(surroundings, config.feed, dispatch, isReady, spillTarget);
    const { port: callerPort } = callers;
    const links = await startPeers({ surroundings, configuration: config, fleet, hash, callerPort, isReady });
    peers = links;
    const operators = await startOperatorDoor({
        surroundings,
        configuration: config.feed,
        fleet,
        control,
        peers: links,
        isReady,
    });
    log.info("started", { callerPort, operatorPort: operators.port, peerPort: links.port });

    const stop = async (): Promise<void> => {
        leaving = true;
        control.stop();
        log.info("leaving", { inFlight: callers.inFlight() });
        await sleep(timer, settings.limits.shutdownNoticeMs);
        await Promise.race([callers.drain(), sleep(timer, settings.limits.shutdownGraceMs)]);
        log.info("stopped", { cut: callers.inFlight() });
        callers.close();
        operators.close();
        links.stop();
        dispatch.stop();
        fleet.stop();
        config.stop();
        surroundings.table.stop();
        await surroundings.tracing.stop();
    };

    return {
        callerPort,
        operatorPort: operators.port,
        peerPort: links.port,
        peerTraffic: links.traffic,
        isReady,
        stop,
    };
}

function makeSurroundings(options: EntryOptions): Surroundings {
    const { settings, timer, log, random, onBroken, credentials } = options;
    const { platform } = settings;
    const { id, availabilityZone } = settings.process;
    return {
        settings,
        timer,
        log,
        random,
        onBroken,
        metrics: makeMetrics(),
        tracing: makeTracing({ endpoint: settings.traces.endpoint, process: id, availabilityZone }),
        table: makeDynamoTable({
            endpoint: platform.tableEndpoint,
            region: platform.tableRegion,
            tableName: platform.tableName,
            timeoutMs: platform.timeoutMs,
            ...(credentials === undefined ? {} : { credentials }),
        }),
        instanceSource: makeInstanceSource({ endpoint: platform.instancesEndpoint, timeoutMs: platform.timeoutMs }),
    };
}
