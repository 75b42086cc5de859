/** What every experiment has in common: its options and the shape of its result. */
import { readFileSync } from "node:fs";
import { parseArgs } from "node:util";

/** Runs with the arguments after its name and resolves to an exit code. */
export type Experiment = (args: readonly string[]) => Promise<number>;

export type ExperimentOptions = {
    readonly seed: number;
    readonly seconds: number | undefined;
    /** The one policy to run; all when absent. */
    readonly policy: string | undefined;
    /** The parsed workload file, when one is given. */
    readonly workload: unknown;
};

/** Figures by policy; each metric's name ends with its unit. */
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

export function complainUsage(names: readonly string[]): number {
    process.stderr.write(`Usage: rattanquay-lab experiment NAME …\nNames: ${names.join(", ")}\n`);
    return 2;
}
