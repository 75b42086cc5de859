/** Wires the tasks of an entry instance together, and ends them in order. */
import { type Settings } from "@rattanquay/schema";
import { makeDynamoTable, makeInstanceSource } from "@rattanquay/table";
import { type Log, makeMetrics, makeTracing } from "@rattanquay/telemetry";
import { sleep, type Timer } from "@rattanquay/timer";
import makeXxhash from "xxhash-wasm";
import { type CallerDoor, startCallerDoor } from "./callers";
import { startConfig } from "./config";
import { startControl } from "./control";
import { startDispatch } from "./dispatch";
import { startFleet } from "./fleet";
import { startOperatorListener } from "./operators";
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
    readonly stop: () => Promise<Stop>;
};

/** How a graceful stop went: the number of requests that outlasted the grace period and were cut. */
export type Stop = { readonly cut: number };

/** Starts an entry instance; rejects, with nothing left running, when a listener cannot be opened. */
export async function startEntry(options: EntryOptions): Promise<Entry> {
    const context = makeSurroundings(options);
    const { h32 } = await makeXxhash();
    const tasks = startTasks(context, text => h32(text));
    const open: { close: () => void }[] = [{ close: tasks.stop }];
    try {
        return await openListeners(context, tasks, open);
    }
    catch (error) {
        open.reverse().forEach(part => part.close());
        throw error;
    }
}

type Tasks = ReturnType<typeof startTasks>;

/** Starts the tasks that own the process's state; the listeners stand in front of them. */
function startTasks(context: Surroundings, hash: (text: string) => number) {
    const configuration = startConfig(context);
    const fleet = startFleet(context, hash);
    configuration.feed.subscribe(({ snapshot }) => fleet.setSnapshot(snapshot));
    const dispatch = startDispatch(context, configuration.feed, fleet);
    const control = startControl(context, configuration.feed, fleet);
    const stop = (): void => {
        control.stop();
        dispatch.stop();
        fleet.stop();
        configuration.stop();
        context.table.stop();
    };
    return { configuration, fleet, dispatch, control, hash, stop };
}

/** Opens the three listeners and notes each in `open`, so that a failure at a later one can close it again. */
async function openListeners(
    context: Surroundings,
    { configuration, fleet, dispatch, control, hash, stop: stopTasks }: Tasks,
    open: { close: () => void }[],
): Promise<Entry> {
    const { log } = context;
    let leaving = false;
    let peers: Peers | undefined = undefined;
    const mayServe = (): boolean => peers?.feed.latest().caughtUp === true;
    const isReady = (): boolean => !leaving && mayServe();
    const spillTarget = (service: string): string | undefined => peers?.spillTarget(service);
    const readiness = { isReady, mayServe };
    const callers = await startCallerDoor(context, configuration.feed, dispatch, readiness, spillTarget);
    open.push(callers);
    const { port: callerPort } = callers;
    const links = await startPeers({ context, configuration, fleet, hash, callerPort, isReady });
    open.push({ close: links.stop });
    peers = links;
    const operators = await startOperatorListener({
        context,
        configuration: configuration.feed,
        applyAccepted: configuration.applyAccepted,
        fleet,
        control,
        peers: links,
        isReady,
    });
    log.info("started", { callerPort, operatorPort: operators.port, peerPort: links.port });
    const stop = async (): Promise<Stop> => {
        leaving = true;
        control.stop();
        log.info("leaving", { inFlight: callers.inFlight() });
        const cut = await leave(callers, context);
        operators.close();
        links.stop();
        stopTasks();
        await context.tracing.stop();
        log.info("stopped", { cut });
        return { cut };
    };
    const { port: peerPort, traffic: peerTraffic } = links;
    return { callerPort, operatorPort: operators.port, peerPort, peerTraffic, isReady, stop };
}

/** Waits until the balancer has noticed, then for running answers; resolves to the number that were cut. */
async function leave(callers: CallerDoor, { settings, timer }: Surroundings): Promise<number> {
    await sleep(timer, settings.limits.shutdownNoticeMs);
    await within(timer, settings.limits.shutdownGraceMs, callers.drain());
    const cut = callers.inFlight();
    callers.close();
    return cut;
}

/** Waits for `done`, but no longer than `limitMs`. */
function within(timer: Timer, limitMs: number, done: Promise<void>): Promise<void> {
    return new Promise(resolve => {
        const cancel = timer.after(limitMs, resolve);
        void done.then(() => {
            cancel();
            resolve();
        });
    });
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
