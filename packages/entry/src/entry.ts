/** Wires the tasks of an entry instance together, and ends them in order. */
import { makeDynamoTable, makeInstanceSource } from "@rattanquay/platform";
import { type Settings } from "@rattanquay/schema";
import { type Log, makeMetrics, makeTracing } from "@rattanquay/telemetry";
import { sleep, type Timer } from "@rattanquay/timer";
import { startCallerDoor } from "./callers";
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
    readonly stop: () => Promise<void>;
};

/** Starts an entry instance; rejects when a listener cannot be opened. */
export async function startEntry(options: EntryOptions): Promise<Entry> {
    const surroundings = makeSurroundings(options);
    const { settings, timer, log } = surroundings;
    let leaving = false;
    const config = startConfig(surroundings);
    const fleet = startFleet(surroundings);
    config.feed.subscribe(({ snapshot }) => fleet.setSnapshot(snapshot));
    const dispatch = startDispatch(surroundings, config.feed, fleet);
    const control = startControl(surroundings, config.feed, fleet);
    const isReady = (): boolean =>
        !leaving && config.feed.latest().known && fleet.feed.latest().headVersion !== undefined;
    const callers = await startCallerDoor(surroundings, config.feed, dispatch, isReady);
    const operators = await startOperatorDoor({ surroundings, configuration: config.feed, fleet, control, isReady });
    log.info("started", { callerPort: callers.port, operatorPort: operators.port });

    const stop = async (): Promise<void> => {
        leaving = true;
        control.stop();
        log.info("leaving", { inFlight: callers.inFlight() });
        await sleep(timer, settings.limits.shutdownNoticeMs);
        await Promise.race([callers.drain(), sleep(timer, settings.limits.shutdownGraceMs)]);
        log.info("stopped", { cut: callers.inFlight() });
        callers.close();
        operators.close();
        dispatch.stop();
        fleet.stop();
        config.stop();
        surroundings.table.stop();
        await surroundings.tracing.stop();
    };

    return { callerPort: callers.port, operatorPort: operators.port, isReady, stop };
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
