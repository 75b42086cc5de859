/** Experiments by name. */
import { cut } from "./cut";
import { complainUsage, type Experiment } from "./experiment";
import { outcomes } from "./outcomes";
import { overhead } from "./overhead";
import { slopes } from "./slopes";

const experiments: Readonly<Record<string, Experiment>> = { cut, outcomes, overhead, slopes };

/** Runs the experiment that the first argument names and prints its result as the last line. */
export async function runExperiment(args: readonly string[]): Promise<number> {
    const experiment = experiments[args[0] ?? ""];
    return experiment === undefined ? complainUsage(Object.keys(experiments)) : experiment(args.slice(1));
}
