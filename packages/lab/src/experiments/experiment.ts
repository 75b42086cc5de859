/** The options and the result format that all experiments share. */
import { readFileSync } from "node:fs";
import { parseArgs } from "node:util";

/** Takes the arguments after the experiment's name and resolves to an exit code. */
export type Experiment = (args: readonly string[]) => Promise<number>;

export type ExperimentOptions = {
    readonly seed: number;
    readonly seconds: number | undefined;
    /** The only policy to run; all policies when absent. */
    readonly policy: string | undefined;
    /** The parsed workload file, if one is given. */
    readonly workload: unknown;
};

/** Results by policy and metric. The name of each metric ends with its unit. */
export type Figures = Readonly<Record<string, Readonly<Record<string, number>>>>;

export function parseExperimentArgs(args: readonly string[]): ExperimentOptions {
    const { values } = parseArgs({
        args: [...args],
        options: {
            seed: { type: "string", default: "1" },
            seconds: { type: "string" },
            policy: { type: "string" },
            workload: { type: "string" },
            json: { type: "boolean", default: false },
        },
    });
    return {
        seed: Number(values.seed),
        seconds: values.seconds === undefined ? undefined : Number(values.seconds),
        policy: values.policy,
        workload: values.workload === undefined ? undefined : JSON.parse(readFileSync(values.workload, "utf8")),
    };
}

/** Prints the result as one JSON line. */
export function printResult(experiment: string, seed: number, policies: Figures): void {
    process.stdout.write(`${JSON.stringify({ experiment, seed, policies })}\n`);
}

export function printUsage(names: readonly string[]): number {
    process.stderr.write(`Usage: rattanquay-lab experiment NAME …\nNames: ${names.join(", ")}\n`);
    return 2;
}
