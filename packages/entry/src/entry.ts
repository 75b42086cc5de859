/** Wires the tasks of an entry instance together, and ends them in order. */
import { makeDynamoTable, makeInstanceSource } from "@rattanquay/platform";
import { type Settings } from "@rattanquay/schema";
import { type Log, makeMetrics, makeTracing } from "@rattanquay/telemetry";
import { sleep, type Timer } from "@rattanquay/timer";
import { type CallerDoor, startCallerDoor } from "./callers";
import { startConfig } from "./config";
import { startControl } from "./control";
import { startDispatch } from "./dispatch";
import { startFleet } from "./fleet";
import { startOperatorDoor } from "./operators";
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
    readonly isReady: () => boolean;
    /** Ends gracefully: leaves the balancer, lets running requests finish, then stops. */
    readonly stop: () => Promise<Stop>;
};

/** How a graceful stop went: the number of requests that outlasted the grace period and were cut. */
export type Stop = { readonly cut: number };

/** Starts an entry instance; rejects, with nothing left running, when a listener cannot be opened. */
export async function startEntry(options: EntryOptions): Promise<Entry> {
    const surroundings = makeSurroundings(options);
    const { log } = surroundings;
    const tasks = startTasks(surroundings);
    const { configuration, fleet, dispatch, control } = tasks;
    let leaving = false;
    const mayServe = (): boolean => configuration.latest().known && fleet.feed.latest().headVersion !== undefined;
    const isReady = (): boolean => !leaving && mayServe();
    const endOnFailure = (error: unknown): never => {
        tasks.stop();
        throw error;
    };
    const readiness = { isReady, mayServe };
    const callers = await startCallerDoor(surroundings, configuration, dispatch, readiness).catch(endOnFailure);
    const operators = await startOperatorDoor({ surroundings, configuration, fleet, control, isReady })
        .catch((error: unknown) => {
            callers.close();
            return endOnFailure(error);
        });
    log.info("started", { callerPort: callers.port, operatorPort: operators.port });
    const stop = async (): Promise<Stop> => {
        leaving = true;
        control.stop();
        log.info("leaving", { inFlight: callers.inFlight() });
        const cut = await leave(callers, surroundings);
        operators.close();
        tasks.stop();
        await surroundings.tracing.stop();
        log.info("stopped", { cut });
        return { cut };
    };
    return { callerPort: callers.port, operatorPort: operators.port, isReady, stop };
}

/** Starts the tasks that own the process's state; the listeners stand in front of them. */
function startTasks(surroundings: Surroundings) {
    const config = startConfig(surroundings);
    const fleet = startFleet(surroundings);
    config.feed.subscribe(({ snapshot }) => fleet.setSnapshot(snapshot));
    const dispatch = startDispatch(surroundings, config.feed, fleet);
    const control = startControl(surroundings, config.feed, fleet);
    const stop = (): void => {
        control.stop();
        dispatch.stop();
        fleet.stop();
        config.stop();
        surroundings.table.stop();
    };
    return { configuration: config.feed, fleet, dispatch, control, stop };
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
