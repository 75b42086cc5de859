/** Runs a lab command and resolves to its exit code, or to undefined for a stand-in, which runs until it is killed. */
import { parseArgs } from "node:util";
import { type EntrySwarmOptions, startEntrySwarm } from "./cluster";
import { demo } from "./demo";
import { type EngineOptions, type InstanceSwarmOptions, startEngine, startInstanceSwarm } from "./engine";
import { runExperiment } from "./experiments";
import { faultUsage, runFault } from "./fault";
import { listen, sendJson } from "./httpServer";
import { loadUsage, runLoad } from "./load";
import { startPipe } from "./pipe";
import { startPlatform } from "./platform";
import { startService } from "./service";

type LabCommand = { readonly usage: string; readonly run: (args: readonly string[]) => Promise<number | undefined> };

const commands: Readonly<Record<string, LabCommand>> = {
    demo: { usage: "demo", run: demo },
    platform: { usage: "platform --port N [--list-lag-ms N] [--weight-bytes-per-second N]", run: runPlatform },
    engine: { usage: "engine --port N --options JSON", run: runEngine },
    service: { usage: "service --port N [--name NAME] [--journal FILE]", run: runService },
    pipe: { usage: "pipe --port N --to HOST:PORT[,…]", run: runPipe },
    instances: { usage: "instances --port N --options JSON", run: runInstances },
    entries: { usage: "entries --port N --options JSON", run: runEntries },
    load: { usage: loadUsage, run: runLoad },
    fault: { usage: faultUsage, run: runFault },
    experiment: {
        usage: "experiment NAME [--seed N] [--workload FILE] [--policy NAME] [--seconds N] [--json]",
        run: runExperiment,
    },
};

export async function runLabCommand(args: readonly string[]): Promise<number | undefined> {
    const command = commands[args[0] ?? ""];
    if (command === undefined) {
        const lines = Object.values(commands).map(({ usage }) => `  rattanquay-lab ${usage}`);
        process.stderr.write(`Usage:\n${lines.join("\n")}\n`);
        return args[0] === "--help" ? 0 : 2;
    }
    try {
        return await command.run(args.slice(1));
    }
    catch (error) {
        process.stderr.write(`${(error as Error).stack}\n`);
        return 1;
    }
}

async function runPlatform(args: readonly string[]): Promise<undefined> {
    const { values } = parseArgs({
        args: [...args],
        options: {
            port: { type: "string" },
            "list-lag-ms": { type: "string" },
            "weight-bytes-per-second": { type: "string" },
        },
    });
    const rate = values["weight-bytes-per-second"];
    await startPlatform({
        port: Number(values.port ?? 0),
        listLagMs: Number(values["list-lag-ms"] ?? 1_000),
        ...(rate === undefined ? {} : { weightBytesPerSecond: Number(rate) }),
    });
}

async function runEngine(args: readonly string[]): Promise<undefined> {
    const { values } = parseArgs({
        args: [...args],
        options: { port: { type: "string" }, options: { type: "string" } },
    });
    await startEngine({ ...JSON.parse(values.options ?? "{}") as EngineOptions, port: Number(values.port ?? 0) });
}

async function runService(args: readonly string[]): Promise<undefined> {
    const { values } = parseArgs({
        args: [...args],
        options: { port: { type: "string" }, name: { type: "string" }, journal: { type: "string" } },
    });
    const { name, journal } = values;
    await startService({
        port: Number(values.port ?? 0),
        ...(name === undefined ? {} : { name }),
        ...(journal === undefined ? {} : { journal }),
    });
}

async function runPipe(args: readonly string[]): Promise<undefined> {
    const { values } = parseArgs({ args: [...args], options: { port: { type: "string" }, to: { type: "string" } } });
    await startPipe(Number(values.port ?? 0), (values.to ?? "").split(","));
}

/** Starts listening on its own port once all instances of the swarm listen, so that a caller can wait for that. */
async function runInstances(args: readonly string[]): Promise<undefined> {
    const { port, options } = parseSwarmArgs(args);
    await startInstanceSwarm(options as InstanceSwarmOptions);
    await listen(port, (unusedRequest, response) => sendJson(response, 200, {}));
}

async function runEntries(args: readonly string[]): Promise<undefined> {
    const { port, options } = parseSwarmArgs(args);
    await startEntrySwarm(options as EntrySwarmOptions);
    await listen(port, (unusedRequest, response) => sendJson(response, 200, {}));
}

function parseSwarmArgs(args: readonly string[]): { readonly port: number; readonly options: unknown } {
    const { values } = parseArgs({
        args: [...args],
        options: { port: { type: "string" }, options: { type: "string" } },
    });
    return { port: Number(values.port ?? 0), options: JSON.parse(values.options ?? "{}") };
}
