import { type Entry, startEntry } from "@rattanquay/entry";
import { Settings } from "@rattanquay/schema";
import { type Log, makeLog } from "@rattanquay/telemetry";
import { systemTimer } from "@rattanquay/timer";
import { parseArgs } from "node:util";
import { exitCodes } from "../exitCodes";
import { readJsonFile } from "../jsonFile";
import { printError } from "../output";
import { type Command } from "../runCommand";

const stopSignals = ["SIGTERM", "SIGINT"] as const;

export const serve: Command = {
    name: "serve",
    usage: "serve --settings FILE",
    summary:
        "Run an entry instance. SIGTERM stops it gracefully; a second SIGTERM stops it at once.\nExit codes: 0 stopped without cutting off requests, 1 stopped and cut off requests, 2 invalid settings,\n3 an address or a file was not available, 70 an invariant was violated.",
    run: async args => {
        const { values } = parseArgs({ args: [...args], options: { settings: { type: "string" } } });
        if (values.settings === undefined) {
            throw new Error("--settings FILE is missing.");
        }
        const file = readJsonFile(values.settings, Settings);
        if (file.kind === "invalid") {
            printError(file.message);
            return exitCodes.usage;
        }
        return runEntry(file.value);
    },
};

async function runEntry(settings: Settings): Promise<number> {
    const { id, availabilityZone } = settings.process;
    const log = makeLog({ level: settings.log.level, process: id, availabilityZone });
    const entry = await startOrLogFailure(settings, log);
    if (entry === undefined) {
        return exitCodes.unavailable;
    }
    await new Promise<void>(resolve => onceStopSignal(() => resolve()));
    onceStopSignal(() => {
        log.warn("stoppedAtOnce");
        process.exit(exitCodes.refused);
    });
    const { cut } = await entry.stop();
    return cut === 0 ? exitCodes.ok : exitCodes.refused;
}

async function startOrLogFailure(settings: Settings, log: Log): Promise<Entry | undefined> {
    const onFatalError = (task: string, error: unknown): void => {
        log.error("invariantBroken", { task, error: (error as Error).stack ?? String(error) });
        process.exit(exitCodes.invariantBroken);
    };
    try {
        return await startEntry({ settings, timer: systemTimer, log, random: Math.random, onFatalError });
    }
    catch (error) {
        log.error("startFailed", { error: (error as Error).message });
        return undefined;
    }
}

/** Calls `action` once, on the first of `stopSignals` to arrive. */
function onceStopSignal(action: () => void): void {
    const listener = (): void => {
        stopSignals.forEach(signal => process.off(signal, listener));
        action();
    };
    stopSignals.forEach(signal => process.on(signal, listener));
}
