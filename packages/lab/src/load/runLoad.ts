import { check, formatFaults } from "@rattanquay/schema";
import { build } from "hdr-histogram-js";
import { readFileSync } from "node:fs";
import { parseArgs } from "node:util";
import { callerKey } from "../cluster/clusterSpec";
import { makeSchedule, seededRandom, Workload } from "../workload";
import { type CallRecord, runOpenLoop } from "./openLoop";

export const loadUsage =
    "load --workload FILE --port N[,N…] [--seed N] [--seconds N] [--capacity CALLS_PER_SECOND] [--model NAME] [--key WORKSPACE=KEY]…";

const options = {
    workload: { type: "string" },
    port: { type: "string" },
    seed: { type: "string", default: "1" },
    seconds: { type: "string", default: "60" },
    capacity: { type: "string", default: "0" },
    model: { type: "string", default: "assistant" },
    key: { type: "string", multiple: true, default: [] as string[] },
    json: { type: "boolean", default: false },
} as const;

/**
 * Sends a workload's calls to running entry instances and prints their outcomes as one JSON line.
 *
 * `shareOfCapacity` in the workload is relative to `--capacity`, which depends on the deployment.
 */
export async function runLoad(args: readonly string[]): Promise<number> {
    const { values } = parseArgs({ args: [...args], options });
    if (values.workload === undefined || values.port === undefined) {
        process.stderr.write(`Usage: rattanquay-lab ${loadUsage}\n`);
        return 2;
    }
    const parsed = check(Workload, JSON.parse(readFileSync(values.workload, "utf8")));
    if (parsed.kind === "invalid") {
        process.stderr.write(`${values.workload} is not a valid workload:\n${formatFaults(parsed.faults)}\n`);
        return 2;
    }
    const seed = Number(values.seed);
    const schedule = makeSchedule(parsed.value, {
        seed,
        seconds: Number(values.seconds),
        capacityPerSecond: Number(values.capacity),
    });
    const keys = new Map(values.key.map(pair => pair.split("=") as [string, string]));
    const records = await runOpenLoop(schedule, {
        ports: values.port.split(",").map(Number),
        keyOf: workspace => keys.get(workspace) ?? callerKey,
        random: seededRandom(seed + 1),
        run: `load-${seed}`,
        model: values.model,
    });
    process.stdout.write(
        `${JSON.stringify({ experiment: "load", seed, policies: { asRun: figuresOf(records) } })}\n`,
    );
    return 0;
}

function figuresOf(records: readonly CallRecord[]): Readonly<Record<string, number>> {
    const count = (matches: (record: CallRecord) => boolean): number => records.filter(matches).length;
    const firstTokenTimes = build();
    records.forEach(({ result }) =>
        result.firstTokenMs === undefined || firstTokenTimes.recordValue(result.firstTokenMs)
    );
    return {
        sentCalls: records.length,
        wholeCalls: count(({ result }) => result.whole),
        notRunCalls: count(({ result }) => result.outcome === "notRun"),
        unknownCalls: count(({ result }) => result.outcome === "unknown"),
        unansweredCalls: count(({ result }) => result.outcome === "none"),
        firstTokenP50Ms: firstTokenTimes.getValueAtPercentile(50),
        firstTokenP95Ms: firstTokenTimes.getValueAtPercentile(95),
        callerLatenessMaxMs: Math.round(Math.max(0, ...records.map(({ lateMs }) => lateMs))),
    };
}
