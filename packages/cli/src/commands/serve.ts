import { startEntry } from "@rattanquay/entry";
import { Settings } from "@rattanquay/schema";
import { makeLog } from "@rattanquay/telemetry";
import { systemTimer } from "@rattanquay/timer";
import { parseArgs } from "node:util";
import { exitCodes } from "../exitCodes";
import { readJsonFile } from "../jsonFile";
import { complain } from "../output";
import { type Command } from "../runCommand";

const invariantBroken = 70;
const cutShort = 1;

export const serve: Command = {
    words: "serve",
    usage: "serve --settings FILE",
    summary: "Run an entry instance. SIGTERM stops it gracefully; a second SIGTERM stops it at once.",
    run: async args => {
        const { values } = parseArgs({ args: [...args], options: { settings: { type: "string" } } });
        if (values.settings === undefined) {
            throw new Error("--settings FILE is missing.");
        }
        const file = readJsonFile(values.settings, Settings);
        if (file.kind === "invalid") {
            complain(file.message);
            return exitCodes.usage;
        }
        return runEntry(file.value);
    },
};

async function runEntry(settings: Settings): Promise<number> {
    const { id, availabilityZone } = settings.process;
    const log = makeLog({ level: settings.log.level, process: id, availabilityZone });
    const onBroken = (task: string, error: unknown): void => {
        log.error("invariantBroken", { task, error: (error as Error).stack ?? String(error) });
        process.exit(invariantBroken);
    };
    const entry = await startEntry({ settings, timer: systemTimer, log, random: Math.random, onBroken });
    await new Promise<void>(resolve => {
        const onSignal = (): void => {
            process.once("SIGTERM", () => process.exit(cutShort));
            process.once("SIGINT", () => process.exit(cutShort));
            resolve();
        };
        process.once("SIGTERM", onSignal);
        process.once("SIGINT", onSignal);
    });
    await entry.stop();
    return exitCodes.ok;
}
