/** Connects the tasks of an entry instance, and stops them in order. */
import { type Settings } from "@rattanquay/schema";
import { makeDynamoTable, makeInstanceListClient } from "@rattanquay/table";
import { type Log, makeMetrics, makeTracing } from "@rattanquay/telemetry";
import { sleep, type Timer } from "@rattanquay/timer";
import makeXxhash from "xxhash-wasm";
import { type CallerListener, startCallerListener } from "./callers";
import { startConfig } from "./config";
import { startControl } from "./control";
import { startDispatch } from "./dispatch";
import { startFleet } from "./fleet";
import { startOperatorListener } from "./operators";
import { type Peers, startPeers } from "./peers";
import { type ProcessContext } from "./processContext";

export type EntryOptions = {
    readonly settings: Settings;
    readonly timer: Timer;
    readonly log: Log;
    /** Numbers in [0, 1). */
    readonly random: () => number;
    /** Credentials for the table; the platform's usual environment variables are read when absent. */
    readonly credentials?: { readonly accessKeyId: string; readonly secretAccessKey: string };
    /** Called when a task throws, which means that an invariant is broken; expected to end the process. */
    readonly onFatalError: (task: string, error: unknown) => void;
};

export type Entry = {
    readonly callerPort: number;
    readonly operatorPort: number;
    readonly peerPort: number;
    /** Bytes and messages over peer links since the start. */
    readonly peerTraffic: Peers["traffic"];
    readonly isReady: () => boolean;
    /** Stops gracefully: reports not ready to the load balancer, lets running requests finish, then closes. */
    readonly stop: () => Promise<StopResult>;
};

/** The result of a graceful stop. `cut` is the number of requests aborted because they exceeded the grace period. */
export type StopResult = { readonly cut: number };

/** Starts an entry instance; rejects, with nothing left running, when a listener cannot be opened. */
export async function startEntry(options: EntryOptions): Promise<Entry> {
    const context = makeContext(options);
    const { h32 } = await makeXxhash();
    const tasks = startTasks(context, text => h32(text));
    const opened: { close: () => void }[] = [{ close: tasks.stop }];
    try {
        return await openListeners(context, tasks, opened);
    }
    catch (error) {
        opened.reverse().forEach(resource => resource.close());
        throw error;
    }
}

type Tasks = ReturnType<typeof startTasks>;

/** Starts the tasks that own the process's state; the listeners are opened after them. */
function startTasks(context: ProcessContext, hash: (text: string) => number) {
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

/** Opens the three listeners and adds each to `opened`, so that it can be closed if a later one fails to open. */
async function openListeners(
    context: ProcessContext,
    { configuration, fleet, dispatch, control, hash, stop: stopTasks }: Tasks,
    opened: { close: () => void }[],
): Promise<Entry> {
    const { log } = context;
    let stopping = false;
    let isNoticeOver = false;
    let peers: Peers | undefined = undefined;
    const mayServe = (): boolean => !isNoticeOver && peers?.feed.latest().caughtUp === true;
    const isReady = (): boolean => !stopping && mayServe();
    const spillTarget = (service: string): string | undefined => peers?.spillTarget(service);
    const readiness = { isReady, mayServe };
    const callers = await startCallerListener(context, configuration, dispatch, readiness, spillTarget);
    opened.push(callers);
    const { port: callerPort } = callers;
    const startedPeers = await startPeers({ context, configuration, fleet, hash, callerPort, isReady });
    opened.push({ close: startedPeers.stop });
    peers = startedPeers;
    const operators = await startOperatorListener({
        context,
        configuration: configuration.feed,
        applyAccepted: configuration.applyAccepted,
        fleet,
        control,
        peers: startedPeers,
        isReady,
    });
    log.info("started", { callerPort, operatorPort: operators.port, peerPort: startedPeers.port });
    const stop = async (): Promise<StopResult> => {
        stopping = true;
        control.stop();
        log.info("leaving", { inFlight: callers.inFlight() });
        await sleep(context.timer, context.settings.limits.shutdownNoticeMs);
        isNoticeOver = true;
        const cut = await drainCallers(callers, context);
        operators.close();
        startedPeers.stop();
        stopTasks();
        await context.tracing.stop();
        log.info("stopped", { cut });
        return { cut };
    };
    const { port: peerPort, traffic: peerTraffic } = startedPeers;
    return { callerPort, operatorPort: operators.port, peerPort, peerTraffic, isReady, stop };
}

/**
 * Waits up to `shutdownGraceMs` for running responses. Resolves to the number of responses that were aborted.
 */
async function drainCallers(callers: CallerListener, { settings, timer }: ProcessContext): Promise<number> {
    await waitAtMost(timer, settings.limits.shutdownGraceMs, callers.drain());
    const cut = callers.inFlight();
    callers.close();
    return cut;
}

/** Waits for `done`, but no longer than `limitMs`. */
function waitAtMost(timer: Timer, limitMs: number, done: Promise<void>): Promise<void> {
    return new Promise(resolve => {
        const cancel = timer.after(limitMs, resolve);
        void done.then(() => {
            cancel();
            resolve();
        });
    });
}

function makeContext(options: EntryOptions): ProcessContext {
    const { settings, timer, log, random, onFatalError, credentials } = options;
    const { platform } = settings;
    const { id, availabilityZone } = settings.process;
    return {
        settings,
        timer,
        log,
        random,
        onFatalError,
        metrics: makeMetrics(),
        tracing: makeTracing({ endpoint: settings.traces.endpoint, process: id, availabilityZone }),
        table: makeDynamoTable({
            endpoint: platform.tableEndpoint,
            region: platform.tableRegion,
            tableName: platform.tableName,
            timeoutMs: platform.timeoutMs,
            ...(credentials === undefined ? {} : { credentials }),
        }),
        instanceListClient: makeInstanceListClient({
            endpoint: platform.instancesEndpoint,
            timeoutMs: platform.timeoutMs,
            timer,
        }),
    };
}
