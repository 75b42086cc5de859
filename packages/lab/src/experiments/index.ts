/** Experiments by name. */
import { complainUsage, type Experiment } from "./experiment";
import { groupLoss } from "./groupLoss";
import { overhead } from "./overhead";
import { slopes } from "./slopes";
import { ticket } from "./ticket";

const experiments: Readonly<Record<string, Experiment>> = { overhead, slopes, "group-loss": groupLoss, ticket };

/** Runs the experiment that the first argument names and prints its result as the last line. */
export async function runExperiment(args: readonly string[]): Promise<number> {
    const experiment = experiments[args[0] ?? ""];
    return experiment === undefined ? complainUsage(Object.keys(experiments)) : experiment(args.slice(1));
}
